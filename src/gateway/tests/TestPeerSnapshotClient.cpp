#include "BadStatusLines.h"
#include "EventLoop.h"
#include "RawPeers.h"

#include "gateway/PeerData.h"
#include "gateway/PeerSnapshotClient.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

PeerSnapshot
Snapshot()
{
  CatalogObject object;
  object.name = "main";
  object.version.revision = 1;
  PeerSnapshot snapshot;
  snapshot.configuration.objects.emplace("main", object);
  return snapshot;
}

// A peer that sends a valid snapshot in a response with this status line, and a
// client that asks it.
struct Peer
{
  explicit Peer(std::string aLine)
    : line(std::move(aLine))
  {
    server.onReceived = [this](RawConnection& aConnection) {
      ++requests;
      const std::string body = PackPeerData(EncodePeerSnapshot(Snapshot()));
      aConnection.Send(line + "\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    client.Start();
  }

  const std::string line;
  RawServer server;
  int requests = 0;
  int snapshots = 0;
  PeerSnapshotClient client{ { server.Address() },
                             [] { return true; },
                             [this](const PeerSnapshot&) { ++snapshots; } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(APeerSnapshot)

// Guards against data of a peer in trouble that is taken for a snapshot.
BOOST_AUTO_TEST_CASE(IsTakenOnlyFromASuccess)
{
  std::vector<std::unique_ptr<Peer>> peers;
  for (const std::string& line : BadStatusLines()) {
    peers.push_back(std::make_unique<Peer>(line));
  }
  Peer sound("HTTP/1.1 200 OK");
  BOOST_TEST(WaitUntil([&] {
    return sound.snapshots > 0 &&
           std::ranges::all_of(
             peers, [](const auto& aPeer) { return aPeer->requests >= 2; });
  }));
  for (const auto& peer : peers) {
    BOOST_TEST_CONTEXT("line " << peer->line)
    {
      BOOST_TEST(peer->snapshots == 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
