#include "shard_model/ShardModel.h"
#include "slots/ShardScheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace filbertbeam;

namespace {

constexpr double kFaultAtSeconds = 20;

struct ModelSetup
{
  DetectionPreference preference = DetectionPreference::Detection;
  int servers = 7;
  int slots = 4;
  double load = 0.7;
  FaultKind fault = FaultKind::None;
  double seconds = 80;
  std::uint64_t seed = 1;
};

// Runs the model and records the first ejection of server 0 after the fault,
// and every other ejection.
class DetectionRun final : public ShardModelObserver
{
public:
  explicit DetectionRun(const ModelSetup& aSetup);

  // Time from the fault to the first ejection; negative if there was none.
  double detectedAfterSeconds = -1;
  int wrongEjections = 0;
  std::string lastReason;

  void OnSettled(Instant aNow) override;

private:
  void Configure(bool aWithFaulty);

  ModelSetup setup_;
  Service service_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::unique_ptr<ShardModel> model_;
  std::uint64_t changes_ = 0;
  std::set<std::string> ejected_;
};

DetectionRun::DetectionRun(const ModelSetup& aSetup)
  : setup_(aSetup)
{
  service_.name = "permits";
  service_.floor = 0.5;
  service_.prefer = aSetup.preference;
  ShardModel::Options options;
  options.seed = aSetup.seed;
  options.fault = aSetup.fault;
  options.faultAtSeconds = kFaultAtSeconds;
  for (int i = 0; i < aSetup.servers; ++i) {
    BackendServer server;
    server.name = "server" + std::to_string(i);
    server.slots = aSetup.slots;
    service_.backendServers.push_back(server);
    options.servers.push_back(server.name);
  }
  const double capacity =
    aSetup.servers * aSetup.slots / options.serviceTime.meanSeconds;
  const int customers = 20;
  for (int i = 0; i < customers; ++i) {
    const double rate = aSetup.load * capacity / customers;
    options.customers.push_back(
      { "customer" + std::to_string(i), 2 * rate, rate });
  }
  scheduler_ = ShardScheduler::Create(service_, aSetup.seed);
  model_ = std::make_unique<ShardModel>(*scheduler_, options, *this);
  Configure(true);
  if (aSetup.fault == FaultKind::ColdStart) {
    model_->ScheduleAction(kFaultAtSeconds - 1, [this] { Configure(false); });
    model_->ScheduleAction(kFaultAtSeconds, [this] { Configure(true); });
  }
  if (aSetup.fault == FaultKind::Overload) {
    model_->ScheduleAction(
      kFaultAtSeconds, [this] { model_->SetDemandFactor(1.5 / setup_.load); });
  }
  model_->RunUntil(aSetup.seconds);
}

void
DetectionRun::Configure(bool aWithFaulty)
{
  std::vector<const BackendServer*> pointers;
  for (const BackendServer& server : service_.backendServers) {
    if (aWithFaulty || server.name != "server0") {
      pointers.push_back(&server);
    }
  }
  scheduler_->SetBackendServers(
    service_, pointers, model_ ? model_->Now() : Instant{});
}

void
DetectionRun::OnSettled(Instant aNow)
{
  if (scheduler_->StateChanges() == changes_) {
    return;
  }
  changes_ = scheduler_->StateChanges();
  std::set<std::string> ejected;
  for (const ServerReport& report : scheduler_->Report(aNow)) {
    if (report.state != ServerState::Ejected &&
        report.state != ServerState::Trial) {
      continue;
    }
    ejected.insert(report.backendServer);
    if (ejected_.contains(report.backendServer)) {
      continue;
    }
    const bool isFaulty = ShouldBeEjected(setup_.fault) &&
                          report.backendServer == "server0" &&
                          model_->Seconds() >= kFaultAtSeconds;
    if (!isFaulty) {
      wrongEjections += 1;
      lastReason = report.backendServer + ": " + report.lastReason;
    } else if (detectedAfterSeconds < 0) {
      detectedAfterSeconds = model_->Seconds() - kFaultAtSeconds;
      lastReason = report.lastReason;
    }
  }
  ejected_ = std::move(ejected);
}

struct GrayCase
{
  FaultKind fault;
  // Time limit for the detection in every run.
  double withinSeconds;
};

void
CheckDetected(const GrayCase& aCase, ModelSetup aSetup)
{
  aSetup.fault = aCase.fault;
  for (aSetup.seed = 1; aSetup.seed <= 10; ++aSetup.seed) {
    BOOST_TEST_CONTEXT(FaultName(aCase.fault)
                       << ", " << aSetup.servers << " servers, " << aSetup.slots
                       << " slots, load " << aSetup.load << ", seed "
                       << aSetup.seed)
    {
      const DetectionRun run(aSetup);
      BOOST_TEST(run.detectedAfterSeconds >= 0);
      BOOST_TEST(run.detectedAfterSeconds <= aCase.withinSeconds);
      BOOST_TEST_CONTEXT(run.lastReason)
      {
        BOOST_TEST(run.wrongEjections == 0);
      }
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(DetectionInTheModel)

BOOST_AUTO_TEST_SUITE(GrayServers)

// Targets: with `prefer: detection`, servers that are five times slower and
// black holes are detected within a few seconds (5 here); all other faults
// within the 60 s of the run after the fault.

// Guards against gray failures that are not detected.
BOOST_AUTO_TEST_CASE(AreEjectedFromAShardOfSeven)
{
  const GrayCase cases[] = {
    { FaultKind::SlowFiveTimes, 5 }, { FaultKind::HalfSpeed, 60 },
    { FaultKind::Errors, 60 },       { FaultKind::ErrorsForOneCustomer, 60 },
    { FaultKind::Intermittent, 60 }, { FaultKind::Flapping, 60 },
    { FaultKind::BlackHole, 5 },
  };
  for (const GrayCase& item : cases) {
    CheckDetected(item, {});
  }
}

// Guards against an unsound comparison with a single peer.
BOOST_AUTO_TEST_CASE(AreEjectedFromAShardOfTwo)
{
  const GrayCase cases[] = {
    { FaultKind::SlowFiveTimes, 60 },
    { FaultKind::HalfSpeed, 60 },
    { FaultKind::Errors, 60 },
    { FaultKind::BlackHole, 60 },
  };
  ModelSetup setup;
  setup.preference = DetectionPreference::Precision;
  setup.servers = 2;
  setup.slots = 2;
  setup.load = 0.5;
  for (const GrayCase& item : cases) {
    CheckDetected(item, setup);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HealthyServers)

// Guards against ejections for load, errors or slowness that callers, added
// servers or the whole shard cause.
BOOST_AUTO_TEST_CASE(AreNotEjectedForCommonCauses)
{
  const FaultKind faults[] = {
    FaultKind::None,        FaultKind::ColdStart,
    FaultKind::Overload,    FaultKind::WholeShardSlow,
    FaultKind::SlowCallers, FaultKind::WholeShardErrors,
  };
  const ModelSetup shards[] = {
    { DetectionPreference::Detection, 7, 4, 0.7 },
    { DetectionPreference::Detection, 2, 4, 0.7 },
    { DetectionPreference::Precision, 2, 2, 0.5 },
    { DetectionPreference::Precision, 4, 2, 0.7 },
  };
  for (const FaultKind fault : faults) {
    for (ModelSetup setup : shards) {
      setup.fault = fault;
      for (setup.seed = 1; setup.seed <= 5; ++setup.seed) {
        BOOST_TEST_CONTEXT(FaultName(fault) << ", " << setup.servers
                                            << " servers, seed " << setup.seed)
        {
          const DetectionRun run(setup);
          BOOST_TEST_CONTEXT(run.lastReason)
          {
            BOOST_TEST(run.wrongEjections == 0);
          }
        }
      }
    }
  }
}

// Guards against heavy tails that are mistaken for a slow server.
BOOST_AUTO_TEST_CASE(AreNotEjectedForHeavyTails)
{
  ModelSetup setup;
  setup.preference = DetectionPreference::Precision;
  setup.servers = 4;
  setup.slots = 2;
  setup.seconds = 1200;
  for (setup.seed = 1; setup.seed <= 5; ++setup.seed) {
    const DetectionRun run(setup);
    BOOST_TEST_CONTEXT("seed " << setup.seed << ", " << run.lastReason)
    {
      BOOST_TEST(run.wrongEjections == 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
