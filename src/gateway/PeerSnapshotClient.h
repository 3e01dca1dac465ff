#pragma once

#include "gateway/PeerSnapshot.h"
#include "store/PlatformClient.h"

#include <QTimer>

#include <functional>

namespace filbertbeam {

// Asks peers for what they have read from the catalog, one after the other,
// until this host needs no more of them.
class PeerSnapshotClient
{
public:
  using IsNeeded = std::function<bool()>;
  using Handler = std::function<void(PeerSnapshot)>;

  // aSeeds are peers that are asked when no other is known; they may be stale,
  // and there may be none.
  PeerSnapshotClient(std::vector<Endpoint> aSeeds,
                     IsNeeded aIsNeeded,
                     Handler aOnSnapshot);

  // Asks for the first time after a short while, in which the catalog usually
  // answers.
  void Start();
  // aPeer is asked before the seeds from now on.
  void Prefer(const Endpoint& aPeer);

private:
  void RequestSnapshot();
  void OnResponse(const PlatformReply& aReply);

  const std::vector<Endpoint> seeds_;
  const IsNeeded isNeeded_;
  const Handler onSnapshot_;
  Endpoint preferred_;
  PlatformClient client_;
  QTimer timer_;
};

} // namespace filbertbeam
