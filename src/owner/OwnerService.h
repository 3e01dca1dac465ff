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

  // Returns false and sets aReason for a request that is not authentic.
  virtual bool Authenticate(const HttpRequestHead& aHead,
                            std::string& aReason) = 0;
};

// Handles requests between hosts that concern no shard, such as those for the
// configuration. Called on the owner thread.
class InternalRequestHandler
{
public:
  virtual ~InternalRequestHandler() = default;

  virtual void HandleRequest(HttpServerExchange& aExchange) = 0;
};

// Prefix of the targets of requests between hosts that concern no shard.
inline constexpr std::string_view kInternalTargetPrefix = "/.filbertbeam/";

// The relay endpoint: accepts requests from entry hosts for the shards that
// this host owns. Must be used on the thread that creates it.
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
  // Sets the addresses that the host list reports as leaving.
  void SetLeavingAddresses(std::set<std::string> aAddresses);

  // Starts a grace period after which relayed requests are refused as moved.
  // Queued and running requests still finish.
  void BeginLeaving();

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

  // Returns a report on each backend server of the shards in use on this host.
  std::vector<ServerReport> Report() const;

private:
  struct ShardEntry
  {
    std::shared_ptr<OwnedShard> shard;
    // When this host was first found not to be the owner in its own view; empty
    // while it is the owner.
    std::optional<Instant> notOwnerSince;
  };

  bool IsOwner(const Shard& aShard) const;
  ShardEntry& FindOrCreateEntry(const Service& aService, const Shard& aShard);
  // Updates notOwnerSince. Returns whether requests for the shard are accepted.
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
