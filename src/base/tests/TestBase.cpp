#include "base/BoundedJson.h"
#include "base/Digest.h"
#include "base/Findings.h"
#include "base/Log.h"
#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "base/SystemClock.h"

#include <QJsonArray>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <ctime>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(Base)

BOOST_AUTO_TEST_SUITE(LogLines)

// Guards against log injection: a value that adds key=value pairs or lines.
BOOST_AUTO_TEST_CASE(ValuesCannotForgePairsOrLines)
{
  const std::string line = FormatLogLine(
    LogLevel::Info, "request", { { "path", "/a b=\"c\"\nlevel=error" } });
  BOOST_TEST(
    line == "level=info event=request path=\"/a b=\\\"c\\\"\\x0alevel=error\"");
}

BOOST_AUTO_TEST_CASE(PlainValuesAreNotQuoted)
{
  BOOST_TEST(FormatLogLine(LogLevel::Warning, "ejected", { { "score", 4 } }) ==
             "level=warning event=ejected score=4");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against deadlines that stand still while the machine is suspended. On
// a machine that never was, all clocks pass.
BOOST_AUTO_TEST_CASE(TheClockIncludesTheTimeOfSuspensions)
{
  const auto sinceBoot = [] {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
  };
  const Instant before = sinceBoot();
  const Instant now = SystemClock().Now();
  BOOST_TEST((before <= now));
  BOOST_TEST((now <= sinceBoot()));
}

// Guards against reporting only the first of several errors in an input.
BOOST_AUTO_TEST_CASE(FindingsAreReportedTogetherWithTheirPlace)
{
  Findings findings;
  findings.Add({ "contracts.json", 3, "contracts[0].customer", "is empty" });
  findings.Add({ "--listen_caller", 0, "", "is not an address" });
  BOOST_TEST(findings.Format() ==
             "contracts.json:3: contracts[0].customer: is empty\n"
             "--listen_caller: is not an address\n");
}

// Guards against a change of algorithm: hosts of different releases must
// compute the same digests.
BOOST_AUTO_TEST_CASE(DigestsMatchPublishedVectors)
{
  BOOST_TEST(
    Sha256Hex("abc") ==
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  BOOST_TEST(HmacSha256("key", "data").size() == 32U);
  BOOST_TEST(StableHash("") == 0xef46db3751d8e999ULL);
  BOOST_TEST(ConstantTimeEquals("same", "same"));
  BOOST_TEST(!ConstantTimeEquals("same", "some"));
  BOOST_TEST(!ConstantTimeEquals("same", "sam"));
}

// Guards against test failures that can't be reproduced from their seed.
BOOST_AUTO_TEST_CASE(EqualSeedsGiveEqualNumbers)
{
  SeededRandom first(7);
  SeededRandom second(7);
  for (int i = 0; i < 100; ++i) {
    const double value = first.Uniform();
    BOOST_TEST(value == second.Uniform());
    BOOST_TEST(value < 1.0);
  }
  BOOST_TEST(first.Below(0) == 0U);
}

BOOST_AUTO_TEST_CASE(ManualClockAdvancesOnlyOnRequest)
{
  ManualClock clock;
  const Instant start = clock.Now();
  BOOST_TEST((clock.Now() == start));
  clock.Advance(std::chrono::milliseconds(5));
  BOOST_TEST((clock.Now() - start == std::chrono::milliseconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ParsingJsonOfSeveralWriters)

// Guards against a part that cannot be read and hides the others.
BOOST_AUTO_TEST_CASE(LeavesOutOnlyWhatCannotBeRead)
{
  const std::string deep =
    std::string(5'000, '[') + "\"]\"" + std::string(5'000, ']');
  const std::pair<std::string, QJsonValue> cases[] = {
    { "1e999", QJsonValue::Null },
    { "-2.5e1", -25.0 },
    { "\"[1e999\\\"{\"", "[1e999\"{" },
    { "{\"c\":[]}", QJsonObject{ { "c", QJsonArray() } } },
  };
  for (const auto& [text, value] : cases) {
    BOOST_TEST_CONTEXT(text)
    {
      const QJsonObject object = ParseBoundedJson(
        fmt::format("{{\"a\":{},\"b\":[1,{},2]}}", text, deep));
      BOOST_TEST((object["a"] == value));
      const QJsonArray others = object["b"].toArray();
      BOOST_TEST_REQUIRE(others.size() == 3);
      BOOST_TEST(others[0].toInt() == 1);
      BOOST_TEST(others[2].toInt() == 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReturnsNothingForOtherTexts)
{
  for (const char* const text :
       { "", "[]", "{", "{\"a\":\"", "{\"a\":[[", "]]}", "{\"a\":\"\\" }) {
    BOOST_TEST_CONTEXT(text)
    {
      BOOST_TEST(ParseBoundedJson(text).isEmpty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
