#include "gateway/AttemptHistory.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

namespace {

const Endpoint kAddress{ "127.0.0.1", 9000 };

} // namespace

BOOST_AUTO_TEST_SUITE(Gateway)

BOOST_AUTO_TEST_SUITE(TheAttemptsOfARequest)

BOOST_AUTO_TEST_CASE(ProveThatItHasNotRunBeforeTheFirst)
{
  BOOST_TEST(!AttemptHistory().MayHaveRun());
}

// Guards against "not run" while an attempt is running.
BOOST_AUTO_TEST_CASE(ProveNothingWhileOneIsRunning)
{
  AttemptHistory attempts;
  attempts.OnStarted("server-0", kAddress);
  BOOST_TEST(attempts.MayHaveRun());
  attempts.OnEnded(AttemptResult::NotExecuted);
  BOOST_TEST(!attempts.MayHaveRun());
  attempts.OnStarted("server-1", kAddress);
  attempts.OnStarted("server-2", kAddress);
  attempts.OnEnded(AttemptResult::WrongServer);
  BOOST_TEST(attempts.MayHaveRun());
}

// Guards against "not run" after a result that leaves it open.
BOOST_AUTO_TEST_CASE(ProveThatItHasNotRunOnlyByTheseResults)
{
  const struct
  {
    AttemptResult result;
    bool mayHaveRun;
  } rows[] = {
    { AttemptResult::Responded, true },
    { AttemptResult::Failed, true },
    { AttemptResult::Broken, true },
    { AttemptResult::NoResponse, true },
    { AttemptResult::Abandoned, true },
    { AttemptResult::Unused, true },
    { AttemptResult::NotExecuted, false },
    { AttemptResult::WrongServer, false },
    { AttemptResult::Unreachable, false },
  };
  for (const auto& row : rows) {
    AttemptHistory attempts;
    attempts.OnStarted("server-0", kAddress);
    attempts.OnEnded(row.result);
    BOOST_TEST_CONTEXT(static_cast<int>(row.result))
    {
      BOOST_TEST(attempts.MayHaveRun() == row.mayHaveRun);
    }
  }
}

// Guards against a later refusal that hides an earlier attempt.
BOOST_AUTO_TEST_CASE(AreNotForgottenAfterALaterRefusal)
{
  AttemptHistory attempts;
  attempts.OnStarted("server-0", kAddress);
  attempts.OnEnded(AttemptResult::Broken);
  attempts.OnStarted("server-1", kAddress);
  attempts.OnEnded(AttemptResult::NotExecuted);
  BOOST_TEST(attempts.MayHaveRun());
}

BOOST_AUTO_TEST_CASE(MayHaveRunWhenTheyAreCancelledAfterTheyWereSent)
{
  AttemptHistory attempts;
  attempts.OnStarted("server-0", kAddress);
  attempts.OnCancelled(false);
  BOOST_TEST(!attempts.MayHaveRun());
  attempts.OnStarted("server-1", kAddress);
  attempts.OnCancelled(true);
  BOOST_TEST(attempts.MayHaveRun());
}

BOOST_AUTO_TEST_CASE(AreCountedOnceTheyReachAServer)
{
  AttemptHistory attempts;
  attempts.OnStarted("server-0", kAddress);
  attempts.OnEnded(AttemptResult::Unreachable);
  attempts.OnStarted("server-1", kAddress);
  BOOST_TEST(attempts.SentAttempts() == 1);
  BOOST_TEST(attempts.UnreachableAttempts() == 1);
  BOOST_TEST(attempts.TriedServers().size() == 2U);
}

BOOST_AUTO_TEST_CASE(AreKnownByTheAddressesOfTheirServers)
{
  AttemptHistory attempts;
  BOOST_TEST(!attempts.HasTried(kAddress));
  attempts.OnStarted("server-0", kAddress);
  attempts.OnEnded(AttemptResult::Unreachable);
  BOOST_TEST(attempts.HasTried(kAddress));
  BOOST_TEST(!attempts.HasTried({ "127.0.0.1", 9001 }));
  BOOST_TEST(!attempts.HasTried({ "127.0.0.2", 9000 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
