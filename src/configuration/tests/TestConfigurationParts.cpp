#include "base/SeededRandom.h"
#include "configuration/ConfigurationParts.h"
#include "configuration/ConfigurationWriter.h"
#include "store/ObjectStore.h"
#include "support/SampleContent.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace filbertbeam;

namespace {

using PartMap = std::map<std::string, std::shared_ptr<const std::string>>;

struct Split
{
  ConfigurationHead head;
  PartMap parts;
};

Split
MakeSplit(const Configuration::Content& aContent)
{
  Split split;
  std::string reason;
  const auto parts = ConfigurationParts::Split(aContent, reason);
  BOOST_TEST_REQUIRE(parts.has_value(), reason);
  split.head.acceptance = {
    7, "nonce", "someone", WallTime(std::chrono::milliseconds(1234567))
  };
  split.head.history = {
    { 6, "old", "other", WallTime(std::chrono::milliseconds(1234)) }
  };
  for (const ConfigurationPart& part : *parts) {
    split.head.parts.push_back({ part.sha256, part.text->size() });
    split.parts[part.sha256] = part.text;
  }
  return split;
}

std::optional<Configuration::Content>
Join(const Split& aSplit, std::string& aReason)
{
  return ConfigurationParts::Join(
    aSplit.head,
    [&](std::string_view aSha256) -> std::shared_ptr<const std::string> {
      const auto found = aSplit.parts.find(std::string(aSha256));
      return found == aSplit.parts.end() ? nullptr : found->second;
    },
    aReason);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationInParts)

BOOST_AUTO_TEST_CASE(JoinRestoresWhatWasSplit)
{
  for (const int contracts : { 0, 1, 3'000 }) {
    Configuration::Content content = MakeSampleContent(contracts);
    std::string reason;
    const auto joined = Join(MakeSplit(content), reason);
    BOOST_TEST_REQUIRE(joined.has_value(), reason);
    ConfigurationWriter::Sort(content);
    BOOST_TEST((*joined == content));
  }
}

// Guards against parts that the store refuses for their size.
BOOST_AUTO_TEST_CASE(PartsStayBelowTheLimitOfTheStore)
{
  Configuration::Content content = MakeSampleContent(3'000);
  Service& service = content.services[0];
  for (int i = 0; i < 4'000; ++i) {
    service.backendServers.push_back(service.backendServers[0]);
    service.backendServers.back().name = fmt::format("s{}", i);
  }
  for (const auto& [sha256, text] : MakeSplit(content).parts) {
    BOOST_TEST(text->size() <= kMaxObjectBytes);
  }
  for (int i = 0; i < 8'000; ++i) {
    service.backendServers.push_back(service.backendServers[0]);
  }
  std::string reason;
  BOOST_TEST(!ConfigurationParts::Split(content, reason).has_value());
  BOOST_TEST(reason == "one of the services is larger than 750000 bytes");
}

// Guards against a small change that makes every host fetch all parts again.
BOOST_AUTO_TEST_CASE(AChangedContractChangesOnePart)
{
  const Split before = MakeSplit(MakeSampleContent(3'000, 0));
  const Split after = MakeSplit(MakeSampleContent(3'000, 1));
  BOOST_TEST(before.parts.size() > 8U);
  int changed = 0;
  for (const auto& [sha256, text] : after.parts) {
    changed += before.parts.contains(sha256) ? 0 : 1;
  }
  BOOST_TEST(changed == 1);
}

BOOST_AUTO_TEST_CASE(OrderOfTheFileDoesNotChangeTheParts)
{
  Configuration::Content content = MakeSampleContent(100);
  const Split before = MakeSplit(content);
  std::reverse(content.contracts.begin(), content.contracts.end());
  BOOST_TEST((MakeSplit(content).head == before.head));
}

BOOST_AUTO_TEST_SUITE(Faults)

// Guards against an incomplete or damaged configuration that comes into force.
BOOST_AUTO_TEST_CASE(AMissingOrDamagedPartIsRefusedWithItsReason)
{
  const Split whole = MakeSplit(MakeSampleContent(600));
  for (std::size_t i = 0; i < whole.head.parts.size(); ++i) {
    const std::string& sha256 = whole.head.parts[i].sha256;
    const std::string text = *whole.parts.at(sha256);
    std::string reason;

    Split missing = whole;
    missing.parts.erase(sha256);
    BOOST_TEST(!Join(missing, reason).has_value());
    BOOST_TEST(reason == "part " + sha256 + " is missing");

    Split truncated = whole;
    truncated.parts[sha256] =
      std::make_shared<std::string>(text.substr(0, text.size() - 1));
    BOOST_TEST(!Join(truncated, reason).has_value());
    BOOST_TEST(reason == fmt::format("part {} has {} bytes, expected {}",
                                     sha256,
                                     text.size() - 1,
                                     text.size()));

    Split damaged = whole;
    std::string changed = text;
    changed[changed.size() / 2] ^= 1;
    damaged.parts[sha256] = std::make_shared<std::string>(changed);
    BOOST_TEST(!Join(damaged, reason).has_value());
    BOOST_TEST(reason == "part " + sha256 + " does not match its hash");
  }
}

// Guards against parts that are undamaged but not valid together.
BOOST_AUTO_TEST_CASE(PartsThatContradictEachOtherAreRefused)
{
  Configuration::Content content = MakeSampleContent(2);
  content.routes[0].service = "unknown";
  std::string reason;
  BOOST_TEST(!Join(MakeSplit(content), reason).has_value());
  BOOST_TEST(reason.find("names the unknown service") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Head)

BOOST_AUTO_TEST_CASE(ReadsBackEqual)
{
  const ConfigurationHead head = MakeSplit(MakeSampleContent(10)).head;
  std::string reason;
  const auto again = ConfigurationHead::Parse(head.Format(), reason);
  BOOST_TEST_REQUIRE(again.has_value(), reason);
  BOOST_TEST((*again == head));
}

// Guards against a damaged revision: since no host goes back to a smaller one,
// a revision that damage in transit increased would make it reject all later
// configurations.
BOOST_AUTO_TEST_CASE(NoChangedOrTruncatedHeadIsAccepted)
{
  const ConfigurationHead head = MakeSplit(MakeSampleContent(10)).head;
  const std::string text = head.Format();
  std::string reason;
  for (std::size_t length = 0; length < text.size(); ++length) {
    BOOST_TEST(
      !ConfigurationHead::Parse(text.substr(0, length), reason).has_value());
  }
  SeededRandom random(11);
  for (int i = 0; i < 20'000; ++i) {
    std::string changed = text;
    const std::size_t at = random.Below(text.size());
    changed[at] = static_cast<char>(random.Below(256));
    const auto parsed = ConfigurationHead::Parse(changed, reason);
    if (parsed) {
      BOOST_TEST_REQUIRE((*parsed == head));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
