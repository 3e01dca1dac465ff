#pragma once

#include "shard_model/ServiceTimeModel.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace filbertbeam {

// What one server does wrong during an episode, while its health check passes.
enum class Episode
{
  None,
  // Holds three quarters of its requests and never answers them.
  Hanging,
  // Holds all of them.
  BlackHole,
  // Fails 40% of its requests at once.
  Errors,
  // Takes four times as long.
  Slow,
};

std::string_view
EpisodeName(Episode aEpisode);

struct SelectionTrialSetup
{
  int servers = 10;
  int slots = 4;
  double requestsPerSecond = 50;
  ServiceTimeModel::Options serviceTimes;
  // In seconds, as the route gives them.
  double latencyObjective = 1.2;
  double timeout = 2;
  bool isIdempotent = false;
  Episode episode = Episode::None;
  // The episode of one server, in seconds of the run.
  double episodeBegin = 0;
  double episodeEnd = 0;
  double seconds = 60;
  std::uint64_t seed = 1;
};

struct SelectionTrialResult
{
  int requests = 0;
  // Requests that were not answered well in the episode, by the faulty server.
  int failed = 0;
  // From the begin of the episode to the suspicion, in seconds.
  std::optional<double> detectedAfter;
  // The same for a rule of five consecutive failures, from the same outcomes.
  std::optional<double> baselineDetectedAfter;
  // Suspicions of servers that are well.
  int falseSuspicions = 0;
};

// Plays the requests of one service in simulated time: a BackendSelector, as
// the service's owner has it, chooses among servers with slots and queues. One
// attempt a request, so that each failure reaches a caller.
SelectionTrialResult
RunSelectionTrial(const SelectionTrialSetup& aSetup);

} // namespace filbertbeam
