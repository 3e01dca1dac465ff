#pragma once

#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "membership/HeartbeatProtocol.h"
#include "membership/SealedMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Connects HeartbeatProtocol instances in memory, on one clock, with loss,
// pauses and links that can be cut per direction. Deterministic for a given
// seed.
class ProtocolNetwork
{
public:
  struct Options
  {
    int hosts = 12;
    int regions = 1;
    int domains = 3;
    Duration latency = std::chrono::milliseconds(5);
    double loss = 0;
    std::uint64_t seed = 1;
    // Seals and opens every heartbeat, as the control channel does.
    bool isSealing = false;
  };

  // Starts every host at a random phase of the first interval between ticks.
  explicit ProtocolNetwork(const Options& aOptions);
  ProtocolNetwork(const ProtocolNetwork&) = delete;
  ProtocolNetwork& operator=(const ProtocolNetwork&) = delete;

  void Run(Duration aDuration);
  // Runs until aCondition holds, which is checked every 50 ms. Returns the time
  // that this took, or nothing after aTimeout.
  std::optional<Duration> RunUntil(const std::function<bool()>& aCondition,
                                   Duration aTimeout);

  int HostCount() const { return static_cast<int>(hosts_.size()); }
  HeartbeatProtocol& At(int aHost) { return *hosts_[Index(aHost)].protocol; }
  std::string Name(int aHost) const;
  const ListedHost& Listing(int aHost) const
  {
    return hosts_[Index(aHost)].listing;
  }
  bool IsRunning(int aHost) const { return hosts_[Index(aHost)].isRunning; }

  void Kill(int aHost);
  // Starts a new process with a new incarnation.
  void Restart(int aHost);
  // Stops the ticks of a host; messages to it are kept until Resume.
  void Pause(int aHost);
  void Resume(int aHost);
  void Cut(int aFrom, int aTo);
  void CutBothWays(const std::function<bool(int)>& aIsOnOneSide);
  void HealAll();
  // Adds a host that runs but is in no host list, not even its own.
  int AddUnlisted(const std::string& aDomain);
  void SetList(int aHost, const std::vector<ListedHost>& aHosts);
  std::vector<ListedHost> FullList() const;

  HostState StateOf(int aHost, int aSeenBy);
  // Returns true when no other host that runs and is not paused has aHost as
  // live in its view, so that aHost owns nothing there.
  bool IsLiveInNoOtherView(int aHost);

  std::uint64_t SentMessages() const { return sentMessages_; }
  std::uint64_t SentBytes() const { return sentBytes_; }
  void ResetCounters();
  // Returns the bytes of the host that sent most since ResetCounters.
  std::uint64_t GreatestHostBytes() const;

private:
  struct Delivery
  {
    int from = 0;
    ControlSender sender;
    std::string bytes;
  };

  struct Host
  {
    ListedHost listing;
    std::vector<ListedHost> list;
    std::unique_ptr<HeartbeatProtocol> protocol;
    bool isRunning = false;
    bool isPaused = false;
    std::uint64_t sequence = 0;
    std::uint64_t sentBytes = 0;
    // Number of starts, so that ticks of an earlier process are ignored.
    int start = 0;
    std::vector<Delivery> pendingDeliveries;
    std::vector<bool> cutTo;
  };

  struct Event
  {
    Instant at;
    std::uint64_t order = 0;
    int host = 0;
    int start = 0;
    // Null for a tick.
    std::shared_ptr<const Delivery> delivery;

    bool operator>(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  static std::size_t Index(int aHost)
  {
    return static_cast<std::size_t>(aHost);
  }
  int AddHost(const std::string& aRegion, const std::string& aDomain);
  void StartProcess(int aHost);
  void Schedule(Duration aDelay,
                int aHost,
                std::shared_ptr<const Delivery> aDelivery);
  void TickHost(int aHost);
  void Deliver(int aHost, const Delivery& aDelivery);

  Options options_;
  ManualClock clock_;
  SeededRandom random_;
  SealedMessageCodec codec_;
  std::vector<Host> hosts_;
  std::unordered_map<std::string, int> hostsByAddress_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t sentMessages_ = 0;
  std::uint64_t sentBytes_ = 0;
};

} // namespace filbertbeam
