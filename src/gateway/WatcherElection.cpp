#include "gateway/WatcherElection.h"

#include "base/Digest.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// With two, the loss of one leaves no host without word.
constexpr int kWatchers = 2;
// While nobody reads the catalog, every host has to watch. These tell those
// that start what they know.
constexpr int kOutageWatchers = 4;
// A lost datagram is no loss of the watcher, and what a host learns after this
// time is still in force within the bounds of a deployment.
constexpr milliseconds kBeatTimeout{ 1'100 };
// Hosts take over one after the other, each when those before it had time to.
constexpr milliseconds kTakeoverStagger{ 100 };

} // namespace

WatcherElection::WatcherElection(std::string aSelf)
  : self_(std::move(aSelf))
{
}

std::uint64_t
WatcherElection::RankOf(const std::string& aHost)
{
  static const std::uint64_t seed = StableHash("catalog-watcher");
  return StableHash(aHost, seed);
}

void
WatcherElection::SetPeers(const std::vector<std::string>& aPeers)
{
  const std::uint64_t own = RankOf(self_);
  if (!position_) {
    // Those before this host learn of the others at the same time.
    isShortSince_.reset();
  }
  position_ = static_cast<int>(std::ranges::count_if(
    aPeers, [own](const std::string& aPeer) { return RankOf(aPeer) < own; }));
}

void
WatcherElection::OnBeat(const std::string& aHost, Instant aNow)
{
  heardAt_.insert_or_assign(aHost, aNow);
}

void
WatcherElection::OnUnreachable(const std::string& aHost)
{
  heardAt_.erase(aHost);
}

WatcherDuty
WatcherElection::Decide(Instant aNow)
{
  std::erase_if(heardAt_, [aNow](const auto& aItem) {
    return aNow - aItem.second > kBeatTimeout;
  });
  const std::uint64_t own = RankOf(self_);
  const auto before = std::ranges::count_if(
    heardAt_, [own](const auto& aItem) { return RankOf(aItem.first) < own; });
  if (before >= kWatchers) {
    isShortSince_.reset();
    return {};
  }
  if (!isShortSince_) {
    isShortSince_ = aNow;
  }
  WatcherDuty duty;
  duty.beats =
    position_ && aNow - *isShortSince_ >= kTakeoverStagger * *position_;
  duty.watches = duty.beats || heardAt_.empty();
  duty.beatsInOutage = duty.beats && *position_ < kOutageWatchers;
  return duty;
}

} // namespace filbertbeam
