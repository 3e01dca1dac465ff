#include "SelectionTrial.h"

#include "balancing/BackendSelector.h"
#include "base/SeededRandom.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <queue>

namespace filbertbeam {

namespace {

constexpr int kHosts = 48;
constexpr int kDomains = 3;
constexpr double kPollSeconds = 0.01;
// Probabilities at which a suspicion starts and ends; the same as for the log
// of the selector.
constexpr double kSuspicionThreshold = 0.6;
constexpr double kClearThreshold = 0.25;
constexpr int kBaselineFailures = 5;

constexpr double kHangingShare = 0.75;
constexpr double kErrorShare = 0.4;
constexpr double kSlowFactor = 4;

struct Server
{
  std::string name;
  // The time, in seconds of the run, from which each slot is free.
  std::vector<double> slotFreeAt;
  bool isSuspected = false;
  int consecutiveFailures = 0;
};

struct Completion
{
  double at = 0;
  std::uint64_t ticket = 0;
  std::size_t server = 0;
  AttemptResult result = AttemptResult::Responded;

  bool operator>(const Completion& aOther) const { return at > aOther.at; }
};

class Trial
{
public:
  explicit Trial(const SelectionTrialSetup& aSetup)
    : setup_(aSetup)
    , random_(aSetup.seed)
    , serviceTimes_(aSetup.serviceTimes)
    // The simulation has no extra attempts.
    , selector_({ 0, 0, std::chrono::seconds(10) }, random_)
  {
    std::vector<BackendServerRecord> records;
    for (int i = 0; i < setup_.servers; ++i) {
      BackendServerRecord record;
      record.id = fmt::format("server-{}", i);
      record.service = "service";
      record.domain = DomainName(i);
      record.slots = setup_.slots;
      records.push_back(record);
      servers_.push_back(
        { record.id,
          std::vector<double>(static_cast<std::size_t>(setup_.slots), 0.0) });
    }
    selector_.SetDirectory(
      std::make_shared<BackendDirectory>(1, std::move(records)));
  }

  SelectionTrialResult Run()
  {
    double nextRequest = NextGap();
    double nextPoll = 0;
    for (;;) {
      const double nextCompletion =
        completions_.empty() ? setup_.seconds : completions_.top().at;
      now_ = std::min({ nextRequest, nextPoll, nextCompletion });
      if (now_ >= setup_.seconds) {
        return result_;
      }
      if (now_ == nextCompletion) {
        Complete();
      } else if (now_ == nextRequest) {
        Request();
        nextRequest = now_ + NextGap();
      } else {
        Poll();
        nextPoll = now_ + kPollSeconds;
      }
    }
  }

private:
  static std::string DomainName(int aNumber)
  {
    return fmt::format("domain-{}", aNumber % kDomains);
  }

  Instant Now() const { return Instant() + FromSeconds(now_ + 3600); }

  double NextGap()
  {
    return -std::log(1 - random_.Uniform()) / setup_.requestsPerSecond;
  }

  bool IsInEpisode(std::size_t aServer) const
  {
    return setup_.episode != Episode::None && aServer == 0 &&
           now_ >= setup_.episodeBegin && now_ < setup_.episodeEnd;
  }

  void Request()
  {
    const int host = static_cast<int>(random_.Below(kHosts));
    SelectionRequest request;
    request.service = "service";
    request.route = "route";
    request.isIdempotent = setup_.isIdempotent;
    request.latencyObjective = FromSeconds(setup_.latencyObjective);
    request.remaining = FromSeconds(setup_.timeout);
    request.host = fmt::format("host-{}", host);
    request.domain = DomainName(host);
    const SelectionResult selected = selector_.Select(request, Now());
    ++result_.requests;
    if (selected.selection) {
      Send(*selected.selection);
    }
  }

  void Send(const Selection& aSelection)
  {
    const auto found =
      std::ranges::find(servers_, aSelection.backendServer, &Server::name);
    const auto index = static_cast<std::size_t>(found - servers_.begin());
    const double deadline = now_ + setup_.timeout;
    double& slot = *std::ranges::min_element(found->slotFreeAt);
    const double begin = std::max(now_, slot);
    double duration = serviceTimes_.Seconds(random_);
    AttemptResult result = AttemptResult::Responded;
    if (IsInEpisode(index)) {
      ApplyEpisode(duration, result);
    }
    double end = begin + duration;
    if (end > deadline) {
      end = deadline;
      result = AttemptResult::NoResponse;
    }
    slot = end;
    if (result != AttemptResult::Responded && IsInEpisode(index)) {
      ++result_.failed;
    }
    completions_.push({ end, aSelection.ticket, index, result });
  }

  void ApplyEpisode(double& aDuration, AttemptResult& aResult)
  {
    const double draw = random_.Uniform();
    switch (setup_.episode) {
      case Episode::None:
        return;
      case Episode::Hanging:
        aDuration = draw < kHangingShare ? setup_.timeout * 2 : aDuration;
        return;
      case Episode::BlackHole:
        aDuration = setup_.timeout * 2;
        return;
      case Episode::Errors:
        if (draw < kErrorShare) {
          aDuration /= 2;
          aResult = AttemptResult::Failed;
        }
        return;
      case Episode::Slow:
        aDuration *= kSlowFactor;
        return;
    }
  }

  void Complete()
  {
    const Completion completion = completions_.top();
    completions_.pop();
    selector_.Finish(completion.ticket, completion.result, Now());
    Server& server = servers_[completion.server];
    const bool isFailure = completion.result != AttemptResult::Responded;
    server.consecutiveFailures = isFailure ? server.consecutiveFailures + 1 : 0;
    if (completion.server == 0 && now_ >= setup_.episodeBegin &&
        setup_.episode != Episode::None &&
        server.consecutiveFailures >= kBaselineFailures &&
        !result_.baselineDetectedAfter) {
      result_.baselineDetectedAfter = now_ - setup_.episodeBegin;
    }
  }

  void Poll()
  {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      Server& server = servers_[i];
      const double unhealthyProbability =
        selector_.UnhealthyProbability(server.name, Now());
      if (server.isSuspected) {
        server.isSuspected = unhealthyProbability > kClearThreshold;
        continue;
      }
      if (unhealthyProbability < kSuspicionThreshold) {
        continue;
      }
      server.isSuspected = true;
      if (!IsInEpisode(i)) {
        ++result_.falseSuspicions;
      } else if (!result_.detectedAfter) {
        result_.detectedAfter = now_ - setup_.episodeBegin;
      }
    }
  }

  const SelectionTrialSetup setup_;
  SeededRandom random_;
  const ServiceTimeModel serviceTimes_;
  BackendSelector selector_;
  std::vector<Server> servers_;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
    completions_;
  // Seconds since the start of the run.
  double now_ = 0;
  SelectionTrialResult result_;
};

} // namespace

std::string_view
EpisodeName(Episode aEpisode)
{
  switch (aEpisode) {
    case Episode::None:
      return "none";
    case Episode::Hanging:
      return "hangs 75%";
    case Episode::BlackHole:
      return "black hole";
    case Episode::Errors:
      return "errors 40%";
    case Episode::Slow:
      return "slow x4";
  }
  return "unknown";
}

SelectionTrialResult
RunSelectionTrial(const SelectionTrialSetup& aSetup)
{
  return Trial(aSetup).Run();
}

} // namespace filbertbeam
