#include "daemon/DaemonSettings.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(DaemonSettingsValidation)

// Guards against a start that reports only one error at a time.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsTogether)
{
  std::string program = "filbertbeamd";
  std::string host = "--host=entry;1";
  char* arguments[] = { program.data(), host.data(), nullptr };
  char** argv = arguments;
  int argc = 2;
  Findings findings;
  BOOST_TEST(!DaemonSettings::Create(&argc, &argv, findings).has_value());
  const std::string text = findings.Format();
  for (const char* part : { "--host: has a character",
                            "--region: is not set",
                            "--relay_address: is not set",
                            "--fleet_secret_file: is not set" }) {
    BOOST_TEST(text.find(part) != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
