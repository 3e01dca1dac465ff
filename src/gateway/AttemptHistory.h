#pragma once

#include "balancing/AttemptResult.h"
#include "http/HttpMessage.h"

#include <string>
#include <vector>

namespace filbertbeam {

// The attempts of one request, and what they prove: a request has certainly not
// run if each of its attempts has ended with proof that it did not run, and it
// stays so while no other attempt is started. A response names its request, not
// its attempt, so it is known to be that to an attempt only if its address gets
// no other one.
class AttemptHistory
{
public:
  // An attempt at aServer has started; aAddress is that of the server.
  void OnStarted(const std::string& aServer, const Endpoint& aAddress);
  // An attempt has ended by itself, with aResult.
  void OnEnded(AttemptResult aResult);
  // An attempt was given up before its result was known. aAnyByteSent must be
  // final, that is, its connection is closed.
  void OnCancelled(bool aAnyByteSent);

  // False only if it is proven that the request has not run.
  bool MayHaveRun() const { return mayHaveRun_ || running_ > 0; }
  // Number of attempts that reached a server, or still may.
  int SentAttempts() const { return started_ - unreachable_; }
  // Number of attempts that ended before they reached their server.
  int UnreachableAttempts() const { return unreachable_; }
  // The servers of all attempts, in their order.
  const std::vector<std::string>& TriedServers() const { return triedServers_; }
  // True when an attempt has started at aAddress.
  bool HasTried(const Endpoint& aAddress) const;

private:
  std::vector<std::string> triedServers_;
  std::vector<Endpoint> triedAddresses_;
  int started_ = 0;
  int running_ = 0;
  int unreachable_ = 0;
  // True when an attempt has ended without proof that it did not run.
  bool mayHaveRun_ = false;
};

} // namespace filbertbeam
