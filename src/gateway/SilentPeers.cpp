#include "gateway/SilentPeers.h"

#include "catalog/DeadHostEntry.h"

#include <algorithm>

namespace filbertbeam {

SilentPeers::SilentPeers(std::string aSelf, Random& aRandom)
  : self_(std::move(aSelf))
  , random_(aRandom)
{
}

std::vector<PeerHost>
SilentPeers::BeginRound(std::span<const PeerHost> aListed, Instant aNow)
{
  hasHeardInRound_ = false;
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
  std::vector<PeerHost> greeted;
  for (const PeerHost* host : others) {
    if (unansweredSince_.contains(host->name)) {
      greeted.push_back(*host);
    }
  }
  return greeted;
}

void
SilentPeers::OnHeard(const std::string& aHost)
{
  hasHeardInRound_ = true;
  unansweredSince_.erase(aHost);
}

std::vector<std::string>
SilentPeers::TakeExpired(Instant aNow)
{
  std::vector<std::string> expired;
  if (!hasHeardInRound_) {
    return expired;
  }
  for (const auto& [host, since] : unansweredSince_) {
    if (aNow - since >= kDeadHostRemovalDelay) {
      expired.push_back(host);
    }
  }
  for (const std::string& host : expired) {
    unansweredSince_.erase(host);
  }
  return expired;
}

} // namespace filbertbeam
