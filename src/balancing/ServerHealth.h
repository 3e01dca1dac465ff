#pragma once

#include "balancing/AttemptResult.h"
#include "base/Clock.h"

namespace filbertbeam {

// Estimates the probability that a backend server is in an episode in which it
// fails most of its requests or leaves them unanswered. Evidence is kept as log
// odds and decays, since episodes end. A server with past episodes is suspected
// sooner.
class ServerHealth
{
public:
  // aLogLikelihood is the natural logarithm of the ratio of the probabilities
  // of the observation at an unhealthy and at a healthy server.
  void Observe(double aLogLikelihood, Instant aNow);
  // Records the response to a request sent at aSent. The response is weak
  // evidence about an episode that began after that.
  void ObserveResponse(Instant aSent, double aLogLikelihood, Instant aNow);

  // Probability of an episode, from 0 to 1. aPendingEvidence is the evidence
  // from requests that have no response yet.
  double UnhealthyProbability(double aPendingEvidence, Instant aNow) const;
  // Starts or ends an episode as the probability changes. Returns true if an
  // episode starts, which is then counted.
  bool UpdateEpisode(double aPendingEvidence, Instant aNow);

private:
  double Evidence(Instant aNow) const;
  // Number of past episodes, with exponential decay.
  double DecayedEpisodes(Instant aNow) const;
  double Prior(Instant aNow) const;

  double evidence_ = 0;
  Instant evidenceAt_;
  // Decayed number of episodes as of episodesAt_.
  double episodes_ = 0;
  Instant episodesAt_;
  bool isInEpisode_ = false;
  Instant suspectedAt_;
};

// Log likelihood ratio of aResult, for results for which it does not depend on
// the time that the attempt took.
double
LogLikelihoodOf(AttemptResult aResult);

} // namespace filbertbeam
