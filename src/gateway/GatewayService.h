#pragma once

#include "gateway/GatewayContext.h"
#include "http/HttpServer.h"

namespace filbertbeam {

// Takes the requests of callers and starts a session for each that has a route.
class GatewayService final : public HttpApplication
{
public:
  explicit GatewayService(GatewayContext aContext);

  // Versions at or below the one in force are ignored: a host never acts on an
  // older configuration again.
  void SetRouting(std::shared_ptr<const RoutingTable> aRouting);
  void SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory);

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;
  bool MayRunConcurrently(const HttpRequestHead& aHead) override;

private:
  // The route of a request, or null.
  const Route* FindRoute(const HttpRequestHead& aHead) const;
  void Refuse(HttpServerExchange& aExchange,
              const CallerTerms& aTerms,
              int aStatus,
              std::string_view aReason);

  GatewayContext context_;
};

} // namespace filbertbeam
