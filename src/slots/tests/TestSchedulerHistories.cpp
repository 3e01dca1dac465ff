#include "SchedulerFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <set>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

// Runs a scheduler through a seeded random history of events and checks its
// invariants after each event.
class History
{
public:
  explicit History(std::uint64_t aSeed);

  void Run(int aSteps);
  // Completes all running requests, lets the queued ones expire, and checks
  // that nothing is left over.
  void Finish();

  int Ejections() const { return ejections_; }
  int Readmissions() const { return readmissions_; }

private:
  struct Running
  {
    std::string server;
    Instant since;
    bool isSent = false;
  };

  void Step();
  void SubmitOne();
  void CompleteOne();
  void Reconfigure();
  void DispatchAndExpire();
  void Check();

  SeededRandom random_;
  ManualClock clock_;
  Service service_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::set<std::string> unhealthy_;
  std::set<std::uint64_t> pending_;
  std::map<std::uint64_t, Running> running_;
  std::map<std::string, ServerState> states_;
  std::uint64_t nextId_ = 1;
  int nextServer_ = 0;
  int ejections_ = 0;
  int readmissions_ = 0;
};

History::History(std::uint64_t aSeed)
  : random_(aSeed)
{
  service_.name = "permits";
  service_.floor = 0.5 + 0.05 * static_cast<double>(random_.Below(7));
  service_.prefer = random_.Below(2) == 0 ? DetectionPreference::Detection
                                          : DetectionPreference::Precision;
  scheduler_ = ShardScheduler::Create(service_, aSeed);
  const std::uint64_t servers = 2 + random_.Below(9);
  for (std::uint64_t i = 0; i < servers; ++i) {
    BackendServer server;
    server.name = "server" + std::to_string(nextServer_++);
    server.slots = 1 + static_cast<int>(random_.Below(4));
    service_.backendServers.push_back(server);
  }
  Reconfigure();
}

void
History::Run(int aSteps)
{
  for (int i = 0; i < aSteps; ++i) {
    Step();
    Check();
    DispatchAndExpire();
    Check();
  }
}

void
History::Step()
{
  clock_.Advance(Duration(random_.Below(5'000'000)));
  const std::uint64_t choice = random_.Below(1000);
  if (choice < 450) {
    SubmitOne();
  } else if (choice < 990) {
    CompleteOne();
  } else if (choice < 994) {
    // A server becomes unhealthy or healthy.
    const auto& servers = service_.backendServers;
    const std::string& name = servers[random_.Below(servers.size())].name;
    if (unhealthy_.erase(name) == 0) {
      unhealthy_.insert(name);
    }
  } else if (choice < 998) {
    Reconfigure();
  } else {
    clock_.Advance(std::chrono::seconds(random_.Below(20)));
  }
}

void
History::SubmitOne()
{
  ShardRequest request;
  request.id = nextId_++;
  request.customer = "customer" + std::to_string(random_.Below(5));
  request.promise = 100;
  request.requestClass =
    random_.Below(4) == 0 ? RequestClass::Excess : RequestClass::InContract;
  request.isIdempotent = random_.Below(4) != 0;
  request.deadline =
    clock_.Now() + std::chrono::milliseconds(random_.Below(3000));
  if (!scheduler_->Submit(request, clock_.Now())) {
    pending_.insert(request.id);
    if (random_.Below(20) == 0) {
      BOOST_TEST(scheduler_->Cancel(request.id));
      pending_.erase(request.id);
    }
  }
}

void
History::CompleteOne()
{
  if (running_.empty()) {
    return;
  }
  auto found = running_.begin();
  std::advance(found,
               static_cast<std::ptrdiff_t>(random_.Below(running_.size())));
  const bool isUnhealthy = unhealthy_.contains(found->second.server);
  AttemptResult result = AttemptResult::Success;
  const std::uint64_t chance = random_.Below(100);
  if (chance < (isUnhealthy ? 70U : 1U)) {
    result = AttemptResult::Failure;
  } else if (chance >= 98) {
    result = AttemptResult::Shed;
  } else if (chance >= 96) {
    result = AttemptResult::Cancelled;
  }
  scheduler_->OnResponseHead(found->first, clock_.Now());
  scheduler_->Complete(found->first, result, clock_.Now());
  running_.erase(found);
}

void
History::Reconfigure()
{
  auto& servers = service_.backendServers;
  const std::uint64_t choice = random_.Below(6);
  const std::size_t index = random_.Below(servers.size());
  if (choice == 0 && servers.size() > 1) {
    servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(index));
  } else if (choice == 1 && servers.size() < 12) {
    BackendServer server;
    server.name = "server" + std::to_string(nextServer_++);
    server.slots = 1 + static_cast<int>(random_.Below(4));
    servers.push_back(server);
  } else if (choice == 2) {
    servers[index].isLeaving = !servers[index].isLeaving;
  } else if (choice == 3) {
    service_.floor = 0.5 + 0.05 * static_cast<double>(random_.Below(11));
  } else if (choice == 4) {
    servers[index].slots = 1 + static_cast<int>(random_.Below(4));
  } else {
    // With no server leaving, the floor allows ejections again.
    for (BackendServer& server : servers) {
      server.isLeaving = false;
    }
    service_.floor = 0.5;
  }
  std::vector<const BackendServer*> pointers;
  pointers.reserve(servers.size());
  for (const BackendServer& server : servers) {
    pointers.push_back(&server);
  }
  scheduler_->SetBackendServers(service_, pointers, clock_.Now());
}

void
History::DispatchAndExpire()
{
  for (const Refusal& refusal : scheduler_->Expire(clock_.Now())) {
    BOOST_TEST(pending_.erase(refusal.requestId) == 1U);
  }
  Check();
  std::map<std::string, int> used;
  for (const auto& [id, running] : running_) {
    used[running.server] += 1;
  }
  for (const Assignment& assignment : scheduler_->Dispatch(clock_.Now())) {
    BOOST_TEST(pending_.erase(assignment.requestId) == 1U);
    const auto configured =
      std::find_if(service_.backendServers.begin(),
                   service_.backendServers.end(),
                   [&assignment](const BackendServer& aServer) {
                     return aServer.name == assignment.backendServer;
                   });
    BOOST_TEST_REQUIRE((configured != service_.backendServers.end()));
    BOOST_TEST(!configured->isLeaving);
    BOOST_TEST(++used[assignment.backendServer] <= configured->slots);
    running_[assignment.requestId] = { assignment.backendServer, clock_.Now() };
    scheduler_->OnRequestSent(assignment.requestId, clock_.Now());
  }
}

void
History::Check()
{
  std::size_t healthy = 0;
  int healthySlots = 0;
  int configuredSlots = 0;
  bool hasEjected = false;
  std::map<std::string, ServerState> states;
  for (const ServerReport& report : scheduler_->Report(clock_.Now())) {
    states[report.backendServer] = report.state;
    const ServerState before = states_.contains(report.backendServer)
                                 ? states_[report.backendServer]
                                 : report.state;
    const bool wasEjected =
      before == ServerState::Ejected || before == ServerState::Trial;
    const bool isEjected = report.state == ServerState::Ejected ||
                           report.state == ServerState::Trial;
    ejections_ += !wasEjected && isEjected ? 1 : 0;
    readmissions_ += wasEjected && report.state == ServerState::Healthy ? 1 : 0;
    hasEjected = hasEjected || isEjected;
    if (report.state == ServerState::Healthy) {
      healthy += 1;
      healthySlots += report.slots;
    }
  }
  states_ = std::move(states);
  for (const BackendServer& server : service_.backendServers) {
    configuredSlots += server.slots;
  }
  const auto needed = static_cast<std::size_t>(std::ceil(
    service_.floor * static_cast<double>(service_.backendServers.size()) -
    1e-9));
  if (hasEjected) {
    BOOST_TEST(healthy >= needed);
    BOOST_TEST(healthySlots >= service_.floor * configuredSlots - 1e-9);
  }
  const ShardLoad load = scheduler_->Load();
  BOOST_TEST(load.queued <= static_cast<int>(pending_.size()));
}

void
History::Finish()
{
  while (!running_.empty()) {
    CompleteOne();
  }
  clock_.Advance(5s);
  for (const Refusal& refusal : scheduler_->Expire(clock_.Now())) {
    BOOST_TEST(pending_.erase(refusal.requestId) == 1U);
  }
  BOOST_TEST(pending_.empty());
  BOOST_TEST(scheduler_->Dispatch(clock_.Now()).empty());
  for (const ServerReport& report : scheduler_->Report(clock_.Now())) {
    BOOST_TEST(report.usedSlots == 0);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomHistories)

// Guards against a violated floor, a wrong slot count, a leaving server that
// gets requests, or a lost request in an order of events that no other test
// covers. The counts at the end show that the histories include ejections and
// readmissions.
BOOST_AUTO_TEST_CASE(InvariantsHoldAfterEveryEvent)
{
  int ejections = 0;
  int readmissions = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      History history(seed);
      history.Run(4000);
      history.Finish();
      ejections += history.Ejections();
      readmissions += history.Readmissions();
    }
  }
  BOOST_TEST_MESSAGE("ejections " << ejections << ", readmissions "
                                  << readmissions);
  BOOST_TEST(ejections > 100);
  BOOST_TEST(readmissions > 50);
}

BOOST_AUTO_TEST_SUITE_END()
