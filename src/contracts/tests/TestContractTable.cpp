#include "contracts/ContractTable.h"

#include <boost/test/unit_test.hpp>

#include <limits>

namespace filbertbeam {

namespace {

Contract
MakeContract(std::string aName,
             std::vector<std::string> aKeys = {},
             double aRate = 0,
             double aBurst = 0)
{
  Contract contract;
  contract.customer = std::move(aName);
  contract.keySha256 = std::move(aKeys);
  contract.requestsPerSecond = aRate;
  contract.burst = aBurst;
  return contract;
}

std::shared_ptr<const ContractTable>
Create(std::vector<Contract> aContracts, std::string* aReason = nullptr)
{
  std::string reason;
  return ContractTable::Create(std::move(aContracts),
                               aReason ? *aReason : reason);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnOperatorNamesWorkspaces)

BOOST_AUTO_TEST_CASE(AndTheirKeysLeadToThem)
{
  const auto table = Create(
    { MakeContract("north", { "k1", "k2" }), MakeContract("south", { "k3" }) });
  BOOST_REQUIRE(table);
  BOOST_TEST(table->FindByKeySha256("k2")->customer == "north");
  BOOST_TEST(table->FindByKeySha256("k3") == table->Find("south"));
  BOOST_TEST(!table->FindByKeySha256("k4"));
  BOOST_TEST(!table->FindByKeySha256(""));
  BOOST_TEST(!table->Find("east"));
}

BOOST_AUTO_TEST_CASE(ButNotOneKeyForTwoOfThem)
{
  std::string reason;
  BOOST_TEST(!Create({ MakeContract("a", { "k" }), MakeContract("b", { "k" }) },
                     &reason));
  BOOST_TEST(reason == "a and b have the same key");
  BOOST_TEST(Create({ MakeContract("a", { "k", "k" }) }));
}

BOOST_AUTO_TEST_CASE(NorNamesAndRatesWithoutMeaning)
{
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  constexpr double kNoNumber = std::numeric_limits<double>::quiet_NaN();
  BOOST_TEST(!Create({ MakeContract("") }));
  BOOST_TEST(!Create({ MakeContract("a"), MakeContract("a") }));
  BOOST_TEST(!Create({ MakeContract("a", {}, -1) }));
  BOOST_TEST(!Create({ MakeContract("a", {}, kNoNumber) }));
  BOOST_TEST(!Create({ MakeContract("a", {}, 1, kInfinity) }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertbeam
