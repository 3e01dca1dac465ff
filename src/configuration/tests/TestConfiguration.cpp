#include "configuration/Configuration.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <map>

using namespace filbertbeam;

namespace {

BackendServer
MakeBackendServer(int aIndex, const std::string& aDomain)
{
  BackendServer backendServer;
  backendServer.name = fmt::format("{}-{}", aDomain, aIndex);
  backendServer.address = "10.0.0.1";
  backendServer.port = 8080;
  backendServer.region = "tt-north";
  backendServer.domain = aDomain;
  return backendServer;
}

Configuration::Content
MakeContent(int aCount)
{
  Configuration::Content content;
  Service service;
  service.name = "permits";
  for (int i = 0; i < aCount; ++i) {
    service.backendServers.push_back(
      MakeBackendServer(i, i % 3 == 0 ? "piarco" : "san-juan"));
  }
  content.services.push_back(service);
  return content;
}

std::map<std::string, std::string>
ShardByBackendServer(const Configuration& aConfiguration)
{
  std::map<std::string, std::string> shards;
  for (const Shard& shard : aConfiguration.ShardsOf("permits")) {
    for (const BackendServer* backendServer : shard.backendServers) {
      shards[backendServer->name] = shard.key;
    }
  }
  return shards;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationLookups)

BOOST_AUTO_TEST_SUITE(Shards)

// Guards against a backend server that moves to another owner because a
// different server was added: the move loses its slot counts and its latency
// history.
BOOST_AUTO_TEST_CASE(AddingOrRemovingTheLastServerMovesNoOther)
{
  std::map<std::string, std::string> before;
  for (int count = 1; count <= 300; ++count) {
    const auto configuration = Configuration::Create(1, MakeContent(count));
    const std::map<std::string, std::string> after =
      ShardByBackendServer(*configuration);
    BOOST_TEST_REQUIRE(after.size() == static_cast<std::size_t>(count));
    for (const auto& [name, shard] : before) {
      BOOST_TEST(after.at(name) == shard);
    }
    before = after;
  }
}

// Guards against shards that are too large for one owner, and against many
// small shards.
BOOST_AUTO_TEST_CASE(AllButTheLastOfADomainAreFull)
{
  const auto configuration = Configuration::Create(1, MakeContent(300));
  std::map<std::string, std::vector<std::size_t>> sizes;
  for (const Shard& shard : configuration->ShardsOf("permits")) {
    sizes[shard.domain].push_back(shard.backendServers.size());
    BOOST_TEST(configuration->FindShard(shard.key) == &shard);
    for (const BackendServer* backendServer : shard.backendServers) {
      BOOST_TEST(backendServer->domain == shard.domain);
    }
  }
  BOOST_TEST(sizes["piarco"] == (std::vector<std::size_t>{ 32, 32, 32, 4 }),
             boost::test_tools::per_element());
  BOOST_TEST(sizes["san-juan"] ==
               (std::vector<std::size_t>{ 32, 32, 32, 32, 32, 32, 8 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(UnknownNamesGiveNoShard)
{
  const auto configuration = Configuration::Create(1, MakeContent(3));
  BOOST_TEST(configuration->ShardsOf("library").empty());
  BOOST_TEST(!configuration->FindShard("permits/piarco/1"));
  BOOST_TEST(configuration->FindShard("permits/piarco/0"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Routes)

// Guards against a request that reaches the wrong service, for example
// "/abc" taken for "/ab".
BOOST_AUTO_TEST_CASE(LongestPrefixAtASegmentBoundaryWins)
{
  Configuration::Content content;
  content.routes = { { "", "/", "root", {} },
                     { "", "/ab", "ab", {} },
                     { "", "/ab/cd", "abcd", {} },
                     { "api.example", "/ab", "host-ab", {} },
                     { "api.example", "/x/", "host-x", {} },
                     { "", "/x/y", "xy", {} } };
  const auto configuration = Configuration::Create(1, std::move(content));
  struct Row
  {
    std::string_view host;
    std::string_view path;
    std::string_view service;
  };
  const Row rows[] = {
    { "other", "/", "root" },
    { "other", "/abc", "root" },
    { "other", "/ab", "ab" },
    { "other", "/ab/", "ab" },
    { "other", "/ab/c", "ab" },
    { "other", "/ab/cd/ef", "abcd" },
    { "api.example", "/ab/c", "host-ab" },
    // A longer prefix beats a named host.
    { "api.example", "/ab/cd", "abcd" },
    { "API.Example", "/ab", "host-ab" },
    { "api.example", "/x/z", "host-x" },
    { "api.example", "/x", "root" },
    { "api.example", "/x/y/z", "xy" },
    { "", "/ab", "ab" },
  };
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.host << row.path)
    {
      const Route* route = configuration->FindRoute(row.host, row.path);
      BOOST_TEST_REQUIRE(route);
      BOOST_TEST(route->service == row.service);
    }
  }
  BOOST_TEST(!configuration->FindRoute("other", "*"));
  BOOST_TEST(!configuration->FindRoute("other", ""));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a request that is served under another customer's contract.
BOOST_AUTO_TEST_CASE(ContractsAreFoundByEveryKeyAndByCustomer)
{
  Configuration::Content content;
  content.contracts = { { "acme", { "k1", "k2" }, { "permits" }, 5 },
                        { "bolt", { "k3" }, { "permits" }, 7 } };
  const auto configuration = Configuration::Create(9, std::move(content));
  BOOST_TEST(configuration->Revision() == 9U);
  for (const char* key : { "k1", "k2" }) {
    BOOST_TEST_REQUIRE(configuration->FindContractByKeySha256(key));
    BOOST_TEST(configuration->FindContractByKeySha256(key)->customer == "acme");
  }
  BOOST_TEST(configuration->FindContract("bolt")->requestsPerSecond == 7);
  BOOST_TEST(!configuration->FindContract("k1"));
  BOOST_TEST(!configuration->FindContractByKeySha256("acme"));
  BOOST_TEST(!configuration->FindService("permits"));
}

BOOST_AUTO_TEST_SUITE_END()
