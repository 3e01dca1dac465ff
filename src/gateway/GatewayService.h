#pragma once

#include "gateway/GatewayContext.h"
#include "http/HttpServer.h"

namespace filbertbeam {

// Receives the requests of callers and starts a session for each that matches a
// route.
class GatewayService final : public HttpApplication
{
public:
  explicit GatewayService(GatewayContext aContext);

  // Ignores versions at or below the one in use, so that a host never returns
  // to an older configuration.
  void SetRouting(std::shared_ptr<const RoutingTable> aRouting);
  void SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory);

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;
  bool MayRunConcurrently(const HttpRequestHead& aHead) override;

private:
  // Returns the route of a request, or null.
  const Route* FindRoute(const HttpRequestHead& aHead) const;
  void Refuse(HttpServerExchange& aExchange,
              const CallerHeaders& aHeaders,
              int aStatus,
              std::string_view aReason);

  GatewayContext context_;
};

} // namespace filbertbeam
