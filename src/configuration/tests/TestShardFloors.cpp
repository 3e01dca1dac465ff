#include "configuration/ShardFloors.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>

using namespace filbertbeam;

namespace {

struct FloorCase
{
  double floor;
  std::vector<std::vector<int>> slots;
  std::vector<int> ejectable;
};

// Shards as in the two current deployments, and edge cases.
const FloorCase kFloorCases[] = {
  { 0.7, { { 4, 4, 4, 4 }, { 4, 4, 4 }, { 4, 4, 4 } }, { 1, 1, 1 } },
  { 0.7, { { 4, 4 }, { 4, 4 }, { 4, 4 } }, { 1, 0, 0 } },
  { 0.8,
    { { 2, 2, 2, 2, 2, 2, 2 }, { 2, 2, 2, 2, 2, 2, 2 }, { 2, 2, 2, 2, 2, 2 } },
    { 2, 1, 1 } },
  { 0.5, { { 4 }, { 4 }, { 4 } }, { 1, 0, 0 } },
  { 1.0, { { 4, 4 }, { 4 } }, { 0, 0 } },
  { 0.5, { { 16, 1, 1, 1 } }, { 0 } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(ShardFloors)

// Guards against shards that may together eject more than the service allows,
// and against a service of many small shards that may eject nothing.
BOOST_AUTO_TEST_CASE(DivideTheEjectableServersOfTheService)
{
  for (const FloorCase& row : kFloorCases) {
    std::deque<BackendServer> servers;
    std::vector<Shard> shards;
    int total = 0;
    for (const std::vector<int>& slots : row.slots) {
      Shard& shard = shards.emplace_back();
      for (const int count : slots) {
        BackendServer& server = servers.emplace_back();
        server.slots = count;
        total += count;
        shard.backendServers.push_back(&server);
      }
    }
    AssignShardFloors(row.floor, shards);
    int worstLoss = 0;
    for (std::size_t i = 0; i < shards.size(); ++i) {
      const double size = static_cast<double>(shards[i].backendServers.size());
      const int kept =
        static_cast<int>(std::ceil(shards[i].floor * size - 1e-9));
      const int ejectable = static_cast<int>(size) - kept;
      BOOST_TEST(ejectable == row.ejectable[i]);
      worstLoss += ejectable * row.slots[i][0];
    }
    BOOST_TEST(worstLoss <= (1 - row.floor) * total + 1e-9);
  }
}

BOOST_AUTO_TEST_SUITE_END()
