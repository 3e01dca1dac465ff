#include "balancing/ServerHealth.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Log odds that a server without past episodes is unhealthy at any time.
constexpr double kPriorLogOdds = -3.2;
// Each past episode adds this much to the prior, up to the maximum.
constexpr double kLogOddsPerEpisode = 0.6;
constexpr double kMaxEpisodeLogOdds = 1.8;
constexpr seconds kEpisodeHalfLife{ 45 };
// Bounds allow a few observations to reverse the estimate.
constexpr double kMinEvidence = -2.5;
constexpr double kMaxEvidence = 7;
// Evidence of failures lasts about as long as an episode does.
constexpr milliseconds kBadEvidenceHalfLife{ 2'000 };
constexpr milliseconds kGoodEvidenceHalfLife{ 1'000 };
constexpr double kUnhealthyAbove = 0.6;
constexpr double kHealthyBelow = 0.25;

double
DecayFactor(Duration aElapsed, Duration aHalfLife)
{
  return std::exp2(-duration<double>(aElapsed) / duration<double>(aHalfLife));
}

} // namespace

void
ServerHealth::Observe(double aLogLikelihood, Instant aNow)
{
  evidence_ =
    std::clamp(Evidence(aNow) + aLogLikelihood, kMinEvidence, kMaxEvidence);
  evidenceAt_ = aNow;
}

void
ServerHealth::ObserveResponse(Instant aSent,
                              double aLogLikelihood,
                              Instant aNow)
{
  // Requests that were in progress when an episode began may still get a
  // response.
  const bool isOlder = isInEpisode_ && aSent < suspectedAt_;
  Observe(isOlder ? aLogLikelihood * 0.25 : aLogLikelihood, aNow);
}

double
ServerHealth::UnhealthyProbability(double aPendingEvidence, Instant aNow) const
{
  const double logOdds = Prior(aNow) + Evidence(aNow) + aPendingEvidence;
  return 1 / (1 + std::exp(-logOdds));
}

bool
ServerHealth::UpdateEpisode(double aPendingEvidence, Instant aNow)
{
  const double probability = UnhealthyProbability(aPendingEvidence, aNow);
  if (isInEpisode_) {
    isInEpisode_ = probability > kHealthyBelow;
    return false;
  }
  if (probability < kUnhealthyAbove) {
    return false;
  }
  isInEpisode_ = true;
  suspectedAt_ = aNow;
  episodes_ = DecayedEpisodes(aNow) + 1;
  episodesAt_ = aNow;
  return true;
}

double
ServerHealth::DecayedEpisodes(Instant aNow) const
{
  return episodes_ * DecayFactor(aNow - episodesAt_, kEpisodeHalfLife);
}

double
ServerHealth::Evidence(Instant aNow) const
{
  const Duration elapsed = aNow - evidenceAt_;
  return evidence_ * DecayFactor(elapsed,
                                 evidence_ > 0 ? kBadEvidenceHalfLife
                                               : kGoodEvidenceHalfLife);
}

double
ServerHealth::Prior(Instant aNow) const
{
  return kPriorLogOdds + std::min(DecayedEpisodes(aNow) * kLogOddsPerEpisode,
                                  kMaxEpisodeLogOdds);
}

double
LogLikelihoodOf(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::Responded:
      return -1.2;
    case AttemptResult::Failed:
      return 2.2;
    case AttemptResult::NotExecuted:
      return 1.0;
    case AttemptResult::WrongServer:
    case AttemptResult::Unreachable:
      return 6.0;
    case AttemptResult::Broken:
      return 2.6;
    case AttemptResult::NoResponse:
      return 3.5;
    case AttemptResult::Abandoned:
    case AttemptResult::Unused:
      return 0;
  }
  return 0;
}

} // namespace filbertbeam
