#include "daemon/OwnerRuntime.h"

#include "daemon/RelayAuthentication.h"

namespace filbertbeam {

OwnerRuntime::OwnerRuntime(const DaemonSettings& aSettings,
                           std::uint64_t aIncarnation,
                           const Clock& aClock,
                           EventSink& aEvents,
                           InternalRequestHandler& aInternalHandler)
  : client_(HttpClient::Create(HttpClientLimits{}))
  , authenticator_(CreateRelayAuthenticator(aSettings, aIncarnation, aClock))
  , service_(std::make_unique<OwnerService>(*authenticator_,
                                            aInternalHandler,
                                            *client_,
                                            aClock,
                                            random_,
                                            aEvents))
{
}

std::unique_ptr<OwnerRuntime>
OwnerRuntime::Create(const DaemonSettings& aSettings,
                     std::uint64_t aIncarnation,
                     const Clock& aClock,
                     EventSink& aEvents,
                     InternalRequestHandler& aInternalHandler,
                     std::string& aReason)
{
  std::unique_ptr<OwnerRuntime> runtime(new OwnerRuntime(
    aSettings, aIncarnation, aClock, aEvents, aInternalHandler));
  // The heads of relayed requests carry header fields of the relay in addition
  // to those of the caller.
  HttpServerLimits limits;
  limits.headBytes *= 2;
  runtime->server_ =
    HttpServer::Create(aSettings.relay, limits, *runtime->service_, aReason);
  return runtime->server_ ? std::move(runtime) : nullptr;
}

} // namespace filbertbeam
