#include "cli/ToolSettings.h"

#include <gflags/gflags.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace filbertbeam;

namespace {

// Reads a command line and resets every flag to its default afterwards.
struct CommandLine
{
  std::optional<ToolSettings> Read(std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.begin(), "filbertbeam");
    std::vector<char*> pointers;
    pointers.reserve(aArguments.size());
    for (std::string& argument : aArguments) {
      pointers.push_back(argument.data());
    }
    int count = static_cast<int>(pointers.size());
    char** values = pointers.data();
    findings = {};
    return ToolSettings::Create(&count, &values, findings);
  }

  gflags::FlagSaver saver;
  Findings findings;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CommandLineSettings, CommandLine)

BOOST_AUTO_TEST_CASE(FlagsMayAppearAnywhere)
{
  const auto settings = Read({ "apply",
                               "--platform=10.0.0.1:9000,[fd00::1]:9001",
                               "a.json",
                               "--base_revision=7",
                               "b.json",
                               "--json" });
  BOOST_TEST_REQUIRE(settings.has_value(), findings.Format());
  BOOST_TEST(settings->arguments ==
               (std::vector<std::string>{ "apply", "a.json", "b.json" }),
             boost::test_tools::per_element());
  BOOST_TEST(settings->platform.size() == 2U);
  BOOST_TEST(settings->platform[1].address == "fd00::1");
  BOOST_TEST(settings->platform[1].port == 9001);
  BOOST_TEST(settings->options.baseRevision.value() == 7U);
  BOOST_TEST(settings->options.json);
  BOOST_TEST(!settings->options.wait);
}

BOOST_AUTO_TEST_CASE(FlagsTakePrecedenceOverTheEnvironment)
{
  setenv("FILBERTBEAM_AUTHOR", "kwame", 1);        // NOLINT
  setenv("FILBERTBEAM_PLATFORM", "10.0.0.1:1", 1); // NOLINT
  const auto settings = Read({ "show", "--platform=10.0.0.2:2" });
  unsetenv("FILBERTBEAM_AUTHOR");   // NOLINT
  unsetenv("FILBERTBEAM_PLATFORM"); // NOLINT
  BOOST_TEST_REQUIRE(settings.has_value(), findings.Format());
  BOOST_TEST(settings->options.author == "kwame");
  BOOST_TEST(settings->platform[0].address == "10.0.0.2");
}

// Guards against an operator who sees only the first of several errors.
BOOST_AUTO_TEST_CASE(AllErrorsAreReportedTogether)
{
  BOOST_TEST(!Read({ "show",
                     "--platform=store.example:80,10.0.0.1",
                     "--admin=10.0.0.1:0",
                     "--operator_token_file=/nonexistent",
                     "--wait_timeout_s=-1" })
                .has_value());
  BOOST_TEST(findings.Format() ==
             "--wait_timeout_s: must not be negative\n"
             "--platform: \"store.example:80\" is not IP:PORT\n"
             "--platform: \"10.0.0.1\" is not IP:PORT\n"
             "--admin: \"10.0.0.1:0\" is not IP:PORT\n"
             "--operator_token_file: cannot be read: No such file or "
             "directory\n");
}

BOOST_AUTO_TEST_CASE(HelpFlagShowsTheHelpOfTheSubcommand)
{
  const auto settings = Read({ "apply", "x.json", "--help" });
  BOOST_TEST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->arguments ==
               (std::vector<std::string>{ "help", "apply" }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
