#include "directory/BackendDirectory.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace filbertbeam;

BOOST_AUTO_TEST_CASE(ADirectoryFindsServersByIdAndService)
{
  std::vector<BackendServerRecord> records(3);
  records[0].id = "one";
  records[0].service = "registry";
  records[1].id = "two";
  records[1].service = "permits";
  records[2].id = "three";
  records[2].service = "registry";
  const BackendDirectory directory(4, records);
  BOOST_TEST(directory.Revision() == 4U);
  BOOST_TEST(directory.Find("two")->service == "permits");
  BOOST_TEST((directory.Find("four") == nullptr));
  BOOST_TEST(directory.ServersOfService("registry").size() == 2U);
  BOOST_TEST(directory.ServersOfService("library").empty());
}

BOOST_AUTO_TEST_SUITE(Shards)

namespace {

BackendDirectory
MakeDirectory(int aServers)
{
  std::vector<BackendServerRecord> records;
  for (int i = 0; i < aServers; ++i) {
    BackendServerRecord record;
    record.id = "server-" + std::to_string(i);
    record.service = "permits";
    record.slots = 2;
    record.isDraining = i == 0;
    records.push_back(record);
  }
  return { 1, records };
}

} // namespace

BOOST_AUTO_TEST_CASE(ContainEachServerOfTheServiceOnce)
{
  const BackendDirectory directory = MakeDirectory(200);
  const std::uint32_t count = directory.ShardCount("permits");
  BOOST_TEST(count == 8U);
  std::set<std::string> servers;
  int slots = 0;
  for (std::uint32_t index = 0; index < count; ++index) {
    const auto& shard = directory.ServersOfShard("permits", { index, count });
    BOOST_TEST(shard.size() < 2 * BackendDirectory::kServersPerShard);
    for (const BackendServerRecord* record : shard) {
      BOOST_TEST(servers.insert(record->id).second);
      BOOST_TEST(directory.ShardOf("permits", record->id).index == index);
    }
    slots += directory.SlotsOfShards("permits")[index];
  }
  BOOST_TEST(servers.size() == 200U);
  // The draining server does not count.
  BOOST_TEST(slots == 398);
}

BOOST_AUTO_TEST_CASE(AreOneForASmallService)
{
  const BackendDirectory directory = MakeDirectory(32);
  BOOST_TEST(directory.ShardCount("permits") == 1U);
  BOOST_TEST(directory.ShardCount("unknown") == 1U);
  BOOST_TEST(directory.SlotsOfShards("unknown").empty());
  BOOST_TEST(directory.ServersOfShard("unknown", { 0, 1 }).empty());
}

// Guards against all servers changing their owner when a service grows.
BOOST_AUTO_TEST_CASE(KeepHalfOfTheServersWhenTheirNumberDoubles)
{
  const BackendDirectory small = MakeDirectory(100);
  const BackendDirectory large = MakeDirectory(200);
  int kept = 0;
  for (const BackendServerRecord& record : small.Servers()) {
    kept += small.ShardOf("permits", record.id).index ==
                large.ShardOf("permits", record.id).index
              ? 1
              : 0;
  }
  BOOST_TEST(kept >= 35);
}

// Guards against finding no servers on an owner whose directory is older or
// newer than that of the host that sends the request.
BOOST_AUTO_TEST_CASE(WithUnknownIndexOrCountContainTheWholeService)
{
  const BackendDirectory directory = MakeDirectory(200);
  BOOST_TEST(directory.ServersOfShard("permits", { 1, 4 }).size() == 200U);
  BOOST_TEST(directory.ServersOfShard("permits", { 9, 8 }).size() == 200U);
  BOOST_TEST(directory.ServersOfShard("permits", { 0, 0 }).size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
