#pragma once

#include "gateway/GatewayContext.h"
#include "gateway/LocalResponse.h"
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
  // Refuses the requests from now on whose deadline is after aStopsAt: the
  // process ends then, and they would get no response.
  void BeginStop(Instant aStopsAt) { context_.stopsAt = aStopsAt; }
  // Keys that have not been confirmed for this time are not trusted. Always
  // trusted if it is empty.
  void SetKeyTrustTime(std::optional<Duration> aTime)
  {
    context_.keys = KeyKnowledge(aTime);
  }
  // The keys of the routing in use were known to be current at aTime.
  void ConfirmKeys(Instant aTime) { context_.keys.Confirm(aTime); }

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;
  bool MayRunConcurrently(const HttpRequestHead& aHead) override;
  bool MayAbortResponse(const HttpRequestHead& aHead) override;

private:
  // Returns the route of a request, or null.
  const Route* FindRoute(const HttpRequestHead& aHead) const;
  // True if the process may end before the response to the request is due.
  bool EndsBefore(const Route& aRoute, const CallerHeaders& aHeaders) const;
  // Responds to a request for which no session has been started.
  void Refuse(HttpServerExchange& aExchange,
              const CallerHeaders& aHeaders,
              const LocalResponse& aResponse,
              std::string_view aWorkspace = {});

  GatewayContext context_;
};

} // namespace filbertbeam
