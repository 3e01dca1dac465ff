#include "gateway/DeadHostDetector.h"

#include "catalog/DeadHostEntry.h"

#include <algorithm>

namespace filbertbeam {

DeadHostDetector::DeadHostDetector(std::string aSelf, Random& aRandom)
  : self_(std::move(aSelf))
  , random_(aRandom)
{
}

std::vector<PeerHost>
DeadHostDetector::BeginRound(std::span<const PeerHost> aListed, Instant aNow)
{
  hasReceivedInRound_ = false;
  std::vector<const PeerHost*> others;
  for (const PeerHost& host : aListed) {
    if (host.name != self_) {
      others.push_back(&host);
    }
  }
  std::erase_if(unansweredSince_, [&others](const auto& aItem) {
    return std::ranges::none_of(others, [&aItem](const PeerHost* aHost) {
      return aHost->name == aItem.first;
    });
  });
  if (!others.empty()) {
    unansweredSince_.try_emplace(others[random_.Below(others.size())]->name,
                                 aNow);
  }
  std::vector<PeerHost> probed;
  for (const PeerHost* host : others) {
    if (unansweredSince_.contains(host->name)) {
      probed.push_back(*host);
    }
  }
  return probed;
}

void
DeadHostDetector::OnPeerMessage(const std::string& aHost)
{
  hasReceivedInRound_ = true;
  unansweredSince_.erase(aHost);
}

std::vector<std::string>
DeadHostDetector::TakeDeadHosts(Instant aNow)
{
  std::vector<std::string> deadHosts;
  if (!hasReceivedInRound_) {
    return deadHosts;
  }
  for (const auto& [host, since] : unansweredSince_) {
    if (aNow - since >= kDeadHostRemovalDelay) {
      deadHosts.push_back(host);
    }
  }
  for (const std::string& host : deadHosts) {
    unansweredSince_.erase(host);
  }
  return deadHosts;
}

} // namespace filbertbeam
