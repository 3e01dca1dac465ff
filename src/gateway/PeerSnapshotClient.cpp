#include "gateway/PeerSnapshotClient.h"

#include "base/Log.h"
#include "gateway/PeerData.h"
#include "gateway/PeerRequest.h"

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// An available catalog has responded within this time.
constexpr milliseconds kRequestInterval{ 500 };

constexpr int kOk = 200;

} // namespace

PeerSnapshotClient::PeerSnapshotClient(std::vector<Endpoint> aSeeds,
                                       IsNeeded aIsNeeded,
                                       Handler aOnSnapshot)
  : seeds_(std::move(aSeeds))
  , isNeeded_(std::move(aIsNeeded))
  , onSnapshot_(std::move(aOnSnapshot))
  , client_(seeds_, PeerClientLimits())
{
  timer_.callOnTimeout([this] { RequestSnapshot(); });
}

void
PeerSnapshotClient::Start()
{
  if (!timer_.isActive()) {
    timer_.start(kRequestInterval);
  }
}

void
PeerSnapshotClient::Prefer(const Endpoint& aPeer)
{
  if (aPeer == preferred_) {
    return;
  }
  preferred_ = aPeer;
  std::vector<Endpoint> endpoints{ aPeer };
  endpoints.insert(endpoints.end(), seeds_.begin(), seeds_.end());
  client_.SetEndpoints(std::move(endpoints));
}

void
PeerSnapshotClient::RequestSnapshot()
{
  if (!isNeeded_()) {
    timer_.stop();
    return;
  }
  if (seeds_.empty() && preferred_.port == 0) {
    return;
  }
  GetFromPeer(client_, PackedTarget("/"), [this](const PlatformReply& aReply) {
    OnResponse(aReply);
  });
}

void
PeerSnapshotClient::OnResponse(const PlatformReply& aReply)
{
  if (!isNeeded_()) {
    return;
  }
  if (aReply.status != kOk) {
    LogEvent(LogLevel::Info,
             "peer_snapshot_failed",
             { { "status", aReply.status }, { "reason", aReply.reason } });
    return;
  }
  const auto text = UnpackPeerData(aReply.body);
  auto snapshot =
    text ? DecodePeerSnapshot(*text) : std::optional<PeerSnapshot>();
  if (!snapshot) {
    LogEvent(LogLevel::Warning,
             "peer_snapshot_malformed",
             { { "bytes", aReply.body.size() } });
    return;
  }
  onSnapshot_(std::move(*snapshot));
}

} // namespace filbertbeam
