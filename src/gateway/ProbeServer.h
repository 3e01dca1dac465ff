#pragma once

#include "http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace filbertbeam {

struct ProbeAnswer
{
  int status = 200;
  std::string body;
};

// Answers every request on one address alike: for readiness checks and for
// metrics.
class ProbeServer final : public HttpApplication
{
public:
  using Handler = std::function<ProbeAnswer()>;

  // Null, with a reason, when the address cannot be bound.
  static std::unique_ptr<ProbeServer> Create(const Endpoint& aEndpoint,
                                             Handler aHandler,
                                             std::string& aReason);

  std::uint16_t Port() const { return server_->Port(); }

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

private:
  explicit ProbeServer(Handler aHandler);

  Handler handler_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace filbertbeam
