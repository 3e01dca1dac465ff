#include "gateway/AttemptHistory.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

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
  attempts.OnStarted("server-0");
  BOOST_TEST(attempts.MayHaveRun());
  attempts.OnEnded(AttemptResult::NotExecuted);
  BOOST_TEST(!attempts.MayHaveRun());
  attempts.OnStarted("server-1");
  attempts.OnStarted("server-2");
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
    attempts.OnStarted("server-0");
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
  attempts.OnStarted("server-0");
  attempts.OnEnded(AttemptResult::Broken);
  attempts.OnStarted("server-1");
  attempts.OnEnded(AttemptResult::NotExecuted);
  BOOST_TEST(attempts.MayHaveRun());
}

BOOST_AUTO_TEST_CASE(MayHaveRunWhenTheyAreCancelledAfterTheyWereSent)
{
  AttemptHistory attempts;
  attempts.OnStarted("server-0");
  attempts.OnCancelled(false);
  BOOST_TEST(!attempts.MayHaveRun());
  attempts.OnStarted("server-1");
  attempts.OnCancelled(true);
  BOOST_TEST(attempts.MayHaveRun());
}

BOOST_AUTO_TEST_CASE(AreCountedOnceTheyReachAServer)
{
  AttemptHistory attempts;
  attempts.OnStarted("server-0");
  attempts.OnEnded(AttemptResult::Unreachable);
  attempts.OnStarted("server-1");
  BOOST_TEST(attempts.SentAttempts() == 1);
  BOOST_TEST(attempts.UnreachableAttempts() == 1);
  BOOST_TEST(attempts.TriedServers().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
