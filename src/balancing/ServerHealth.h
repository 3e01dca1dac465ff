#pragma once

#include "balancing/AttemptResult.h"
#include "base/Clock.h"

namespace filbertbeam {

// The belief that a backend server is in an episode in which it fails or holds
// most of its requests. Evidence is kept as a logarithm of odds and fades,
// since episodes end; servers that had episodes before are suspected sooner.
class ServerHealth
{
public:
  // aLogLikelihood: how much more probable the observation is at a sick server
  // than at a healthy one, as a natural logarithm.
  void Observe(double aLogLikelihood, Instant aNow);
  // A response to a request that was sent at aSent. Says little about an
  // episode that began after that.
  void ObserveResponse(Instant aSent, double aLogLikelihood, Instant aNow);

  // Probability of an episode, from 0 to 1. aPending is the evidence of the
  // requests that are not answered yet.
  double UnhealthyProbability(double aPending, Instant aNow) const;
  // Counts an episode when the belief has become strong since the last one.
  // Returns true when it did.
  bool UpdateEpisode(double aPending, Instant aNow);

private:
  double Evidence(Instant aNow) const;
  // Episodes, less those that fade from memory.
  double DecayedEpisodes(Instant aNow) const;
  double Prior(Instant aNow) const;

  double evidence_ = 0;
  Instant evidenceAt_;
  // Episodes, fading.
  double episodes_ = 0;
  Instant episodesAt_;
  bool isInEpisode_ = false;
  Instant suspectedAt_;
};

// The log likelihood of a result, for those where it does not depend on time.
double
LogLikelihoodOf(AttemptResult aResult);

} // namespace filbertbeam
