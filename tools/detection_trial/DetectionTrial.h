#pragma once

#include "shard_model/ShardModel.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbertbeam {

// One run of the shard model with a load and a fault. Records when the
// scheduler detects the fault, and when a baseline of five consecutive failures
// per server would.
class DetectionTrial final : public ShardModelObserver
{
public:
  struct Setup
  {
    DetectionPreference preference = DetectionPreference::Detection;
    int servers = 7;
    int slots = 4;
    // Offered load as a share of the capacity of all slots.
    double load = 0.7;
    // With 1 the scheduler ejects no server, so that the baseline observes all
    // requests.
    double floor = 0.5;
    FaultKind fault = FaultKind::None;
    double faultAtSeconds = 0;
    double seconds = 0;
    std::uint64_t seed = 1;
  };

  // The results of one detection method.
  struct Detection
  {
    // Time from the fault to the first ejection of the faulty server.
    std::optional<double> seconds;
    // Ejections of servers without a fault.
    int falseEjections = 0;
    // Requests that the fault made fail or slow before its detection.
    int failed = 0;
    int slowed = 0;
  };

  static DetectionTrial Run(const Setup& aSetup);

  const Detection& SchedulerDetection() const { return schedulerDetection_; }
  const Detection& Baseline() const { return baseline_; }
  // Returns how many requests the fault made fail or slow until the end.
  int Affected() const { return affected_; }
  const std::string& LastReason() const { return lastReason_; }

  void OnAssigned(const ModelRequest& aRequest, Instant aNow) override;
  void OnFinished(const ModelRequest& aRequest,
                  AttemptResult aResult,
                  Instant aNow) override;
  void OnSettled(Instant aNow) override;

private:
  explicit DetectionTrial(const Setup& aSetup);
  void Configure(bool aWithFaulty);
  void CountEjection(Detection& aDetection, std::size_t aServer) const;

  Setup setup_;
  Service service_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::unique_ptr<ShardModel> model_;
  std::uint64_t changes_ = 0;
  std::set<std::string> ejected_;
  std::vector<int> consecutiveFailures_;
  Detection schedulerDetection_;
  Detection baseline_;
  int affected_ = 0;
  std::string lastReason_;
};

} // namespace filbertbeam
