#include "gateway/KeyKnowledge.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ Duration(100s) };

// A host with a limit of 5 s, and what it sees.
struct KeyKnowledgeFixture
{
  void Look()
  {
    if (const auto at = ConfirmedAt(contact)) {
      keys.Confirm(*at);
    }
  }

  KeyKnowledge keys{ Duration(5s) };
  ConfigurationContact contact{ true, false, kStart, std::nullopt };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeysThatAHostKnows, KeyKnowledgeFixture)

// Guards against a host that, cut off, admits a key that was taken away.
BOOST_AUTO_TEST_CASE(AreTrustedForTheLimitOutOfTouch)
{
  Look();
  BOOST_TEST(keys.MayJudge(kStart + 5s));
  BOOST_TEST(!keys.MayJudge(kStart + 5s + 1ms));
  contact.catalogRespondedAt = kStart + 9s;
  Look();
  BOOST_TEST(keys.MayJudge(kStart + 9s));
}

// Guards against a host that has started on an older copy of a restored store
// and has not asked its peers yet.
BOOST_AUTO_TEST_CASE(AreNotTrustedBeforeTheHostHasAskedItsPeers)
{
  contact.isComplete = false;
  Look();
  BOOST_TEST(!keys.MayJudge(kStart));
  contact.isComplete = true;
  Look();
  BOOST_TEST(keys.MayJudge(kStart));
}

// Guards against a host that the store refuses, while its peers read it.
BOOST_AUTO_TEST_CASE(AreTrustedWhileAPeerCoversTheHost)
{
  contact.coveredAt = kStart + 20s;
  Look();
  BOOST_TEST(keys.MayJudge(kStart + 24s));
}

// Guards against a host whose store responds with old data while its peers know
// of a change.
BOOST_AUTO_TEST_CASE(AreNotTrustedWhileAReportedChangeIsMissing)
{
  Look();
  contact.lacksReportedChange = true;
  contact.catalogRespondedAt = kStart + 20s;
  Look();
  BOOST_TEST(keys.MayJudge(kStart + 5s));
  BOOST_TEST(!keys.MayJudge(kStart + 20s));
}

BOOST_AUTO_TEST_CASE(DoNotBecomeOlder)
{
  contact.coveredAt = kStart + 20s;
  Look();
  keys.Confirm(kStart);
  BOOST_TEST(keys.MayJudge(kStart + 25s));
}

BOOST_AUTO_TEST_CASE(AreAlwaysTrustedWithoutALimit)
{
  BOOST_TEST(KeyKnowledge().MayJudge(kStart));
}

BOOST_AUTO_TEST_SUITE_END()
