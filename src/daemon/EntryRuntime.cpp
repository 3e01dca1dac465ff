#include "daemon/EntryRuntime.h"

#include <utility>

namespace filbertbeam {

EntryRuntime::EntryRuntime(const DaemonSettings& aSettings,
                           std::uint64_t aIncarnation,
                           const Clock& aClock,
                           EventSink& aEvents,
                           EntryMetrics& aMetrics,
                           RelayRequestSigner& aRequestSigner,
                           std::unique_ptr<ObjectStore> aStore)
  : client_(HttpClient::Create(HttpClientLimits{}))
  , store_(std::move(aStore))
  , claims_(ClaimRegistry::Create(*store_,
                                  aClock,
                                  random_,
                                  aSettings.host,
                                  aIncarnation))
  , limiter_(CustomerLimiter::Create())
  , retryBudget_(RetryBudget::Create())
  , selector_(aClock, random_)
  , service_(std::make_unique<EntryService>(EntryContext{ *client_,
                                                          *claims_,
                                                          *limiter_,
                                                          *retryBudget_,
                                                          aRequestSigner,
                                                          serviceLevel_,
                                                          selector_,
                                                          activeRelays_,
                                                          aMetrics,
                                                          aEvents,
                                                          aClock,
                                                          random_ }))
{
}

std::unique_ptr<EntryRuntime>
EntryRuntime::Create(const DaemonSettings& aSettings,
                     std::uint64_t aIncarnation,
                     const Clock& aClock,
                     EventSink& aEvents,
                     EntryMetrics& aMetrics,
                     RelayRequestSigner& aRequestSigner,
                     std::unique_ptr<ObjectStore> aStore,
                     std::string& aReason)
{
  std::unique_ptr<EntryRuntime> runtime(new EntryRuntime(aSettings,
                                                         aIncarnation,
                                                         aClock,
                                                         aEvents,
                                                         aMetrics,
                                                         aRequestSigner,
                                                         std::move(aStore)));
  runtime->server_ = HttpServer::Create(
    aSettings.caller, HttpServerLimits{}, *runtime->service_, aReason);
  return runtime->server_ ? std::move(runtime) : nullptr;
}

} // namespace filbertbeam
