#include "directory/BackendDirectory.h"

#include <boost/test/unit_test.hpp>

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
  BOOST_TEST(directory.OfService("registry").size() == 2U);
  BOOST_TEST(directory.OfService("library").empty());
}
