#pragma once

#include "base/Clock.h"
#include "base/EventSink.h"
#include "base/Random.h"
#include "configuration/Configuration.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "membership/MembershipView.h"
#include "owner/OwnedShard.h"
#include "relay/RelayRequest.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbertbeam {

// Decides whether a relayed request comes from a host of the fleet.
class RelayAuthenticator
{
public:
  virtual ~RelayAuthenticator() = default;

  // False and a reason for a request that is not authentic.
  virtual bool Authenticate(const HttpRequestHead& aHead,
                            std::string& aReason) = 0;
};

// Answers requests between hosts that concern no shard, such as those for the
// configuration. Called on the owner thread.
class InternalRequestHandler
{
public:
  virtual ~InternalRequestHandler() = default;

  virtual void HandleRequest(HttpServerExchange& aExchange) = 0;
};

// Targets of requests between hosts that concern no shard.
inline constexpr std::string_view kInternalTargetPrefix = "/.filbertbeam/";

// The relay endpoint: takes requests from entry hosts for the shards that this
// host owns. Works on the thread that creates it.
class OwnerService final : public HttpApplication
{
public:
  // All references have to outlive the service.
  OwnerService(RelayAuthenticator& aAuthenticator,
               InternalRequestHandler& aInternalHandler,
               HttpClient& aClient,
               const Clock& aClock,
               Random& aRandom,
               EventSink& aEvents);

  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void SetView(std::shared_ptr<const MembershipView> aView);
  // Addresses that the list of hosts reports as leaving.
  void SetLeavingAddresses(std::set<std::string> aAddresses);

  // From a grace period after this call on, relayed requests are refused as
  // moved; queued and running requests finish.
  void BeginLeaving();

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

  // Reports of all backend servers of the shards in use here.
  std::vector<ServerReport> Report() const;

private:
  struct ShardEntry
  {
    std::shared_ptr<OwnedShard> shard;
    // Since when another host is the owner in this host's view.
    std::optional<Instant> notOwnerSince;
  };

  bool IsOwner(const Shard& aShard) const;
  ShardEntry& FindOrCreateEntry(const Service& aService, const Shard& aShard);
  // Updates notOwnerSince; true when requests for the shard are taken.
  bool UpdateOwnership(ShardEntry& aEntry, const Shard& aShard, Instant aNow);
  void RefreshShards();

  RelayAuthenticator& authenticator_;
  InternalRequestHandler& internalHandler_;
  HttpClient& client_;
  const Clock& clock_;
  Random& random_;
  EventSink& events_;
  std::shared_ptr<const Configuration> configuration_;
  std::shared_ptr<const MembershipView> view_;
  std::set<std::string> leavingAddresses_;
  std::map<std::string, ShardEntry, std::less<>> shards_;
  std::optional<Instant> leavingSince_;
  std::uint64_t nextRequestId_ = 1;
};

} // namespace filbertbeam
