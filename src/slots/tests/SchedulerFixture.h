#pragma once

#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "slots/ShardScheduler.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// A scheduler with a manual clock and a service whose servers a test can
// change.
class SchedulerFixture
{
public:
  struct ServerSpec
  {
    std::string name;
    int slots = 1;
    bool isLeaving = false;
  };

  // Creates servers "a" and "b" with two slots each.
  SchedulerFixture();
  explicit SchedulerFixture(const std::vector<ServerSpec>& aServers,
                            double aFloor = 0.5);

  void SetServers(const std::vector<ServerSpec>& aServers);

  ShardRequest MakeRequest(
    std::string_view aCustomer,
    double aPromise = 1000,
    RequestClass aClass = RequestClass::InContract) const;
  // Submits one request and returns its id.
  std::uint64_t Submit(std::string_view aCustomer,
                       double aPromise = 1000,
                       RequestClass aClass = RequestClass::InContract);
  std::vector<Assignment> Dispatch();
  std::vector<Refusal> Expire();
  void Complete(std::uint64_t aRequestId,
                AttemptResult aResult = AttemptResult::Success);
  ServerState StateOf(std::string_view aServer) const;
  ServerReport ReportOf(std::string_view aServer) const;
  void Advance(Duration aBy) { clock_.Advance(aBy); }
  Instant Now() const { return clock_.Now(); }
  ShardScheduler& Scheduler() { return *scheduler_; }

private:
  ManualClock clock_;
  Service service_;
  std::unique_ptr<ShardScheduler> scheduler_;
  mutable std::uint64_t nextId_ = 1;
};

} // namespace filbertbeam
