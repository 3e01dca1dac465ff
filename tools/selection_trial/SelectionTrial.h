#pragma once

#include "shard_model/ServiceTimeModel.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace filbertbeam {

// How one server fails during an episode while its health check passes.
enum class Episode
{
  None,
  // Never responds to three quarters of its requests.
  Hanging,
  // Never responds to any request.
  BlackHole,
  // Fails 40% of its requests, in half of their service time.
  Errors,
  // Service times are multiplied by four.
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
  // Latency objective and timeout of the route, in seconds.
  double latencyObjective = 1.2;
  double timeout = 2;
  bool isIdempotent = false;
  Episode episode = Episode::None;
  // Start and end of the episode of one server, in seconds of the run.
  double episodeBegin = 0;
  double episodeEnd = 0;
  double seconds = 60;
  std::uint64_t seed = 1;
};

struct SelectionTrialResult
{
  int requests = 0;
  // Requests that the faulty server failed or did not respond to in time during
  // the episode.
  int failed = 0;
  // Time from the start of the episode to the suspicion, in seconds.
  std::optional<double> detectedAfter;
  // Time, in seconds, until a rule of five consecutive failures detects the
  // server from the same results.
  std::optional<double> baselineDetectedAfter;
  // Suspicions of healthy servers.
  int falseSuspicions = 0;
};

// Simulates the requests of one service. The BackendSelector of the owner of
// the service selects among servers with slots and queues. Each request has one
// attempt, so that every failure reaches a caller.
SelectionTrialResult
RunSelectionTrial(const SelectionTrialSetup& aSetup);

} // namespace filbertbeam
