#include "owner/OwnerService.h"

#include "base/Log.h"
#include "http/ProblemDetails.h"
#include "owner/OwnerSession.h"
#include "relay/RelayFields.h"

#include <utility>

namespace filbertbeam {

namespace {

// The membership views of two hosts differ for about as long as a member update
// takes to spread. During this period, the former owner still serves requests
// for a shard that has moved; at worst, the two owners together exceed the
// slots and the backend servers shed requests.
constexpr std::chrono::seconds kOwnershipGracePeriod{ 2 };

// Ignores the events of an exchange that already has its response.
class FinishedRequest final : public HttpRequestObserver
{
public:
  void OnRequestBody(ByteView) override {}
  void OnRequestEnd() override {}
  void OnResponseWritable() override {}
  void OnRequestClosed(bool) override {}
};

std::shared_ptr<HttpRequestObserver>
Refuse(HttpServerExchange& aExchange,
       int aStatus,
       std::string_view aReason,
       std::string_view aDetail = {})
{
  ProblemDetails problem;
  problem.status = aStatus;
  problem.title = std::string(aReason);
  problem.detail = std::string(aDetail);
  HttpResponseHead head = ProblemHead(problem);
  head.fields.Set(kRefusalField, aReason);
  head.fields.Set(kOutcomeField, "not-run");
  SendWholeResponse(aExchange, head, ProblemBody(problem));
  return std::make_shared<FinishedRequest>();
}

} // namespace

OwnerService::OwnerService(RelayAuthenticator& aAuthenticator,
                           InternalRequestHandler& aInternalHandler,
                           HttpClient& aClient,
                           const Clock& aClock,
                           Random& aRandom,
                           EventSink& aEvents)
  : authenticator_(aAuthenticator)
  , internalHandler_(aInternalHandler)
  , client_(aClient)
  , clock_(aClock)
  , random_(aRandom)
  , events_(aEvents)
{
}

void
OwnerService::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  configuration_ = std::move(aConfiguration);
  RefreshShards();
}

void
OwnerService::SetView(std::shared_ptr<const MembershipView> aView)
{
  view_ = std::move(aView);
  const Instant now = clock_.Now();
  for (auto& [key, entry] : shards_) {
    const Shard* shard =
      configuration_ ? configuration_->FindShard(key) : nullptr;
    if (shard) {
      UpdateOwnership(entry, *shard, now);
    }
  }
}

void
OwnerService::SetLeavingAddresses(std::set<std::string> aAddresses)
{
  if (aAddresses == leavingAddresses_) {
    return;
  }
  leavingAddresses_ = std::move(aAddresses);
  RefreshShards();
}

void
OwnerService::BeginLeaving()
{
  leavingSince_ = clock_.Now();
}

void
OwnerService::RefreshShards()
{
  if (!configuration_) {
    return;
  }
  for (auto& [key, entry] : shards_) {
    const Shard* shard = configuration_->FindShard(key);
    const Service* service =
      shard ? configuration_->FindService(shard->service) : nullptr;
    if (service) {
      entry.shard->Configure(*service, *shard, leavingAddresses_);
      continue;
    }
    // A shard that was removed from the configuration keeps its running
    // requests but assigns no more.
    Service none;
    entry.shard->Configure(none, Shard{}, leavingAddresses_);
  }
}

bool
OwnerService::IsOwner(const Shard& aShard) const
{
  if (!view_ || view_->IsIsolated()) {
    return false;
  }
  const Member* owner =
    view_->OwnerOfShard(aShard.key, aShard.region, aShard.domain);
  return owner == &view_->Self();
}

OwnerService::ShardEntry&
OwnerService::FindOrCreateEntry(const Service& aService, const Shard& aShard)
{
  ShardEntry& entry = shards_[aShard.key];
  if (!entry.shard) {
    entry.shard =
      std::make_shared<OwnedShard>(aService, clock_, events_, random_.Next());
    entry.shard->Configure(aService, aShard, leavingAddresses_);
  }
  return entry;
}

bool
OwnerService::UpdateOwnership(ShardEntry& aEntry,
                              const Shard& aShard,
                              Instant aNow)
{
  if (leavingSince_) {
    return aNow - *leavingSince_ < kOwnershipGracePeriod;
  }
  if (IsOwner(aShard)) {
    aEntry.notOwnerSince.reset();
    return true;
  }
  if (!aEntry.notOwnerSince) {
    aEntry.notOwnerSince = aNow;
  }
  return aNow - *aEntry.notOwnerSince < kOwnershipGracePeriod;
}

std::shared_ptr<HttpRequestObserver>
OwnerService::OnRequest(std::shared_ptr<HttpServerExchange> aExchange)
{
  const HttpRequestHead& head = aExchange->Request();
  std::string reason;
  if (!authenticator_.Authenticate(head, reason)) {
    LogEvent(LogLevel::Warning,
             "relay_refused",
             { { "peer", aExchange->Peer().address }, { "reason", reason } });
    return Refuse(*aExchange, 403, "not-authentic", reason);
  }
  if (head.target.starts_with(kInternalTargetPrefix)) {
    internalHandler_.HandleRequest(*aExchange);
    return std::make_shared<FinishedRequest>();
  }
  std::optional<RelayRequest> request = ReadRelayFields(head.fields, reason);
  if (!request) {
    return Refuse(*aExchange, 400, "malformed-relay", reason);
  }
  const Shard* shard =
    configuration_ ? configuration_->FindShard(request->shard) : nullptr;
  const Service* service =
    shard ? configuration_->FindService(shard->service) : nullptr;
  if (!service) {
    return Refuse(*aExchange, 503, "unknown-shard");
  }
  ShardEntry& entry = FindOrCreateEntry(*service, *shard);
  if (!UpdateOwnership(entry, *shard, clock_.Now())) {
    return Refuse(*aExchange, 503, "moved");
  }
  auto session = std::make_shared<OwnerSession>(std::move(aExchange),
                                                entry.shard,
                                                std::move(*request),
                                                nextRequestId_++,
                                                service->shedStatus,
                                                clock_,
                                                client_);
  session->Start();
  return session;
}

std::vector<ServerReport>
OwnerService::Report() const
{
  std::vector<ServerReport> reports;
  for (const auto& [key, entry] : shards_) {
    for (ServerReport& report : entry.shard->Report()) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

} // namespace filbertbeam
