#include "catalog/CountingCatalog.h"
#include "catalog/tests/support/CatalogStub.h"
#include "catalog/tests/support/Versions.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

BOOST_AUTO_TEST_SUITE(CountsOfCatalogCalls)

BOOST_AUTO_TEST_CASE(AreKeptByCollectionAndKind)
{
  CatalogStub stub;
  CountingCatalog catalog(stub);
  BOOST_TEST(catalog.FormatForLog().empty());
  catalog.List(Collection::Hosts, {}, ListFreshness::MayBeStale, {});
  catalog.List(Collection::Hosts, {}, ListFreshness::Newest, {});
  catalog.Watch(Collection::BackendServers, At(1), {}, {});
  catalog.Watch(Collection::BackendServers, At(2), {}, {});
  catalog.Read(Collection::Objects, "a", {});
  catalog.Create(Collection::Claims, "a", {}, {});
  catalog.Replace(Collection::Claims, "a", {}, At(1), {});
  catalog.Put(Collection::Hosts, "a", {}, {});
  catalog.Remove(Collection::Hosts, "a", {});
  catalog.Probe({});
  BOOST_TEST(catalog.Calls(Collection::BackendServers, CatalogCall::Watch) ==
             2U);
  BOOST_TEST(catalog.TotalCalls() == 10U);
  BOOST_TEST(catalog.FormatForLog() ==
             "configuration:probe=1 backend-servers:watch=2 hosts:list_page=1 "
             "hosts:stale_list_page=1 hosts:write=2 objects:read=1 "
             "claims:write=2");
  BOOST_TEST(catalog.FormatMetrics().find(
               "filbertbeam_catalog_calls_total{collection="
               "\"claims\",call=\"write\"} 2\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
