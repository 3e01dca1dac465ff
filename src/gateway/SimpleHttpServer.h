#pragma once

#include "http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertbeam {

struct SimpleHttpResponse
{
  int status = 200;
  std::string body;
};

// Serves HTTP requests on one address by their target alone. Used for readiness
// checks, metrics and the requests of peers.
class SimpleHttpServer final : public HttpApplication
{
public:
  // Called with the path and the query of each request.
  using Handler = std::function<SimpleHttpResponse(std::string_view aTarget)>;

  // Returns null and sets aReason when the address cannot be bound.
  static std::unique_ptr<SimpleHttpServer> Create(const Endpoint& aEndpoint,
                                                  Handler aHandler,
                                                  std::string& aReason);

  std::uint16_t Port() const { return server_->Port(); }

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

private:
  explicit SimpleHttpServer(Handler aHandler);

  Handler handler_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace filbertbeam
