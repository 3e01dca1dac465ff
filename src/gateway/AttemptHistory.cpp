#include "gateway/AttemptHistory.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// True for the results that prove that the attempt did not run.
bool
ProvesNotRun(AttemptResult aResult)
{
  return aResult == AttemptResult::NotExecuted ||
         aResult == AttemptResult::WrongServer ||
         aResult == AttemptResult::Unreachable;
}

} // namespace

void
AttemptHistory::OnStarted(const std::string& aServer, const Endpoint& aAddress)
{
  triedServers_.push_back(aServer);
  triedAddresses_.push_back(aAddress);
  ++started_;
  ++running_;
}

void
AttemptHistory::OnEnded(AttemptResult aResult)
{
  --running_;
  unreachable_ += aResult == AttemptResult::Unreachable ? 1 : 0;
  mayHaveRun_ = mayHaveRun_ || !ProvesNotRun(aResult);
}

void
AttemptHistory::OnCancelled(bool aAnyByteSent)
{
  --running_;
  mayHaveRun_ = mayHaveRun_ || aAnyByteSent;
}

bool
AttemptHistory::HasTried(const Endpoint& aAddress) const
{
  return std::ranges::find(triedAddresses_, aAddress) != triedAddresses_.end();
}

} // namespace filbertbeam
