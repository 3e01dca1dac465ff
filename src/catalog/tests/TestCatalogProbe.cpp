#include "catalog/CatalogProbe.h"

#include "base/ManualClock.h"
#include "catalog/tests/support/CatalogStub.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

class ProbedCatalog final : public CatalogStub
{
public:
  void Probe(ProbeCallback aCallback) override
  {
    probes.push_back(std::move(aCallback));
  }

  void Respond(CatalogError aError)
  {
    CatalogFailure failure;
    failure.error = aError;
    probes.back()(failure);
  }

  std::vector<ProbeCallback> probes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AProbeOfTheCatalog)

// Guards against a catalog that stops responding and is not noticed before the
// end of a watch, and against calls that nobody needs.
BOOST_AUTO_TEST_CASE(ReportsThatTheCatalogDoesNotRespond)
{
  ProbedCatalog catalog;
  ManualClock clock;
  bool isNeeded = false;
  int responses = 0;
  int failures = 0;
  CatalogProbe probe(
    catalog,
    clock,
    [&] { return isNeeded; },
    [&] { ++responses; },
    [&](const CatalogFailure&) { ++failures; });
  clock.Advance(kShortestProbePause);
  BOOST_TEST(!probe.Check());
  BOOST_TEST(catalog.probes.empty());
  isNeeded = true;
  BOOST_TEST(probe.Check());
  BOOST_TEST(!probe.Check());
  BOOST_TEST_REQUIRE(catalog.probes.size() == 1U);
  BOOST_TEST(!probe.RespondedAt().has_value());
  catalog.Respond(CatalogError::Refused);
  BOOST_TEST(!probe.RespondedAt().has_value());
  BOOST_TEST(responses == 0);
  catalog.Respond(CatalogError::None);
  BOOST_TEST(probe.RespondedAt().has_value());
  BOOST_TEST(responses == 1);
  BOOST_TEST(failures == 0);
  catalog.Respond(CatalogError::Unavailable);
  BOOST_TEST(failures == 1);
  // One that waits does not delay the next.
  clock.Advance(kShortestProbePause);
  BOOST_TEST(probe.Check());
  BOOST_TEST(catalog.probes.size() == 2U);
  isNeeded = false;
  catalog.Respond(CatalogError::Unavailable);
  BOOST_TEST(failures == 1);
}

BOOST_AUTO_TEST_SUITE_END()
