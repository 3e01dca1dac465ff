#include "gateway/GatewayService.h"

#include "base/Log.h"
#include "gateway/GatewaySession.h"
#include "gateway/RequestTimeout.h"

namespace filbertbeam {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// A host that has just started usually reads its configuration within this
// time.
constexpr std::chrono::milliseconds kStartRetryAfter{ 200 };
// Another host can serve the request as soon as its caller has opened a
// connection to it.
constexpr std::chrono::milliseconds kOtherHostRetryAfter{ 10 };

// Memory of a request beside its bodies: its head, and the heads of the
// responses to an attempt and to its hedge.
constexpr std::size_t kRequestHeadMemory = 16 * 1024;
constexpr std::size_t kRequestMemory =
  kRequestHeadMemory + 2 * kMaxResponseHead;
// New requests leave the budget divided by this to the bodies of requests that
// are already running.
constexpr std::size_t kBodyReserveDivisor = 4;

GatewayCounter
CounterOf(int aStatus)
{
  switch (aStatus) {
    case kUnavailable:
      return GatewayCounter::RefusedNotRun;
    case kUnauthorized:
      return GatewayCounter::Unauthorized;
    case kOverQuota:
      return GatewayCounter::OverQuota;
    default:
      return GatewayCounter::NotRouted;
  }
}

} // namespace

GatewayService::GatewayService(GatewayContext aContext)
  : context_(std::move(aContext))
{
}

void
GatewayService::SetRouting(std::shared_ptr<const RoutingTable> aRouting)
{
  if (context_.routing == nullptr ||
      context_.routing->Version() < aRouting->Version()) {
    context_.routing = std::move(aRouting);
    // The contracts live as long as their routing table.
    context_.selection.Quota().SetContracts(
      { context_.routing, context_.routing->Contracts() });
  }
}

void
GatewayService::SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory)
{
  context_.selection.SetDirectory(aDirectory);
  context_.availability.SetDirectory(*aDirectory);
  context_.directory = std::move(aDirectory);
}

std::shared_ptr<HttpRequestObserver>
GatewayService::OnRequest(std::shared_ptr<HttpServerExchange> aExchange)
{
  context_.metrics.Count(GatewayCounter::Requests);
  const HttpRequestHead& head = aExchange->Request();
  CallerHeaders headers = context_.headerCodec.ReadCallerHeaders(head);
  // Without a configuration the routes are unknown, so "not found" might be
  // wrong.
  if (context_.routing == nullptr) {
    Refuse(*aExchange,
           headers,
           { kUnavailable, "no-configuration", kStartRetryAfter });
    return nullptr;
  }
  if (!head.fields.Find("Host")) {
    Refuse(*aExchange, headers, { kBadRequest, "no-host" });
    return nullptr;
  }
  const Route* route = FindRoute(head);
  if (route == nullptr) {
    Refuse(*aExchange, headers, { kNotFound, "no-route" });
    return nullptr;
  }
  Authorization authorization = Authorize(context_.routing, *route, headers);
  if (authorization.needsKeys &&
      !context_.keys.MayJudge(context_.clock.Now())) {
    Refuse(*aExchange,
           headers,
           { kUnavailable, kKeysNotCurrent, kKeysNotCurrentRetryAfter });
    return nullptr;
  }
  if (!authorization.isGranted) {
    Refuse(*aExchange, headers, { kUnauthorized, "unknown-key" });
    return nullptr;
  }
  if (EndsBefore(*route, headers)) {
    Refuse(
      *aExchange, headers, { kUnavailable, "stopping", kOtherHostRetryAfter });
    return nullptr;
  }
  MemoryReservation memory(context_.memory);
  if (!memory.GrowTo(kRequestMemory,
                     context_.memory.Limit() / kBodyReserveDivisor)) {
    context_.metrics.Count(GatewayCounter::OutOfMemory);
    Refuse(
      *aExchange, headers, { kUnavailable, "no-memory", kOtherHostRetryAfter });
    return nullptr;
  }
  std::optional<QuotaVerdict> verdict =
    context_.selection.Quota().Admit(authorization.Workspace());
  if (verdict && !verdict->isAdmitted) {
    Refuse(*aExchange,
           headers,
           { kOverQuota, "over-quota", verdict->retryAfter },
           authorization.Workspace());
    return nullptr;
  }
  const auto session =
    std::make_shared<GatewaySession>(context_,
                                     std::move(aExchange),
                                     *route,
                                     std::move(authorization),
                                     std::move(headers),
                                     std::move(memory));
  session->Start(std::move(verdict));
  return session;
}

bool
GatewayService::MayRunConcurrently(const HttpRequestHead& aHead)
{
  const Route* route = FindRoute(aHead);
  return route != nullptr && route->isIdempotent;
}

bool
GatewayService::MayAbortResponse(const HttpRequestHead& aHead)
{
  // Large responses are streamed, and aborted when their server fails.
  const Route* route = FindRoute(aHead);
  return route != nullptr && route->hasLargeResponses;
}

const Route*
GatewayService::FindRoute(const HttpRequestHead& aHead) const
{
  return context_.routing ? filbertbeam::FindRoute(*context_.routing, aHead)
                          : nullptr;
}

bool
GatewayService::EndsBefore(const Route& aRoute,
                           const CallerHeaders& aHeaders) const
{
  return context_.stopsAt &&
         context_.clock.Now() + RequestTimeout(aRoute, aHeaders) >
           *context_.stopsAt;
}

void
GatewayService::Refuse(HttpServerExchange& aExchange,
                       const CallerHeaders& aHeaders,
                       const LocalResponse& aResponse,
                       std::string_view aWorkspace)
{
  context_.metrics.Count(CounterOf(aResponse.status));
  LogEvent(LogLevel::Info,
           "request_refused",
           { { "request", aHeaders.requestId },
             { "host", aExchange.Request().fields.Find("Host").value_or("") },
             { "target", aExchange.Request().target },
             { "version", context_.routing ? context_.routing->Version() : 0 },
             { "workspace", aWorkspace },
             { "status", aResponse.status },
             { "reason", aResponse.reason } });
  SendLocalResponse(aExchange, context_.headerCodec, aHeaders, aResponse);
}

} // namespace filbertbeam
