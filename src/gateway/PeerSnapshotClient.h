#pragma once

#include "gateway/PeerSnapshot.h"
#include "store/PlatformClient.h"

#include <QTimer>

#include <functional>

namespace filbertbeam {

// Requests snapshots of the catalog from peers, one after the other, while this
// host needs them.
class PeerSnapshotClient
{
public:
  using IsNeeded = std::function<bool()>;
  using Handler = std::function<void(PeerSnapshot)>;

  // aSeeds are the peers to use until Prefer is called. They may be out of
  // date, and there may be none.
  PeerSnapshotClient(std::vector<Endpoint> aSeeds,
                     IsNeeded aIsNeeded,
                     Handler aOnSnapshot);

  // Sends the first request after a short delay, within which the catalog
  // usually responds.
  void Start();
  // Requests are sent to aPeer before the seeds from now on.
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
