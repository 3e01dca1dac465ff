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

// Answers the requests on one address by their target alone: for readiness
// checks, for metrics and for peers.
class SimpleHttpServer final : public HttpApplication
{
public:
  // Called with the path and query of each request.
  using Handler = std::function<SimpleHttpResponse(std::string_view aTarget)>;

  // Null, with a reason, when the address cannot be bound.
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
