#include "DetectionTrial.h"

#include <algorithm>

namespace filbertbeam {

namespace {

constexpr int kCustomers = 20;
constexpr int kBaselineFailures = 5;
constexpr double kOverload = 1.5;

} // namespace

DetectionTrial
DetectionTrial::Run(const Setup& aSetup)
{
  DetectionTrial trial(aSetup);
  ShardModel::Options options;
  options.seed = aSetup.seed;
  options.fault = aSetup.fault;
  options.faultAtSeconds = aSetup.faultAtSeconds;
  for (const BackendServer& server : trial.service_.backendServers) {
    options.servers.push_back(server.name);
  }
  const double capacity =
    aSetup.servers * aSetup.slots / options.serviceTime.meanSeconds;
  for (int i = 0; i < kCustomers; ++i) {
    const double rate = aSetup.load * capacity / kCustomers;
    options.customers.push_back(
      { "customer" + std::to_string(i), 2 * rate, rate });
  }
  trial.model_ =
    std::make_unique<ShardModel>(*trial.scheduler_, options, trial);
  trial.Configure(true);
  if (aSetup.fault == FaultKind::ColdStart) {
    trial.model_->ScheduleAction(aSetup.faultAtSeconds - 1,
                                 [&trial] { trial.Configure(false); });
    trial.model_->ScheduleAction(aSetup.faultAtSeconds,
                                 [&trial] { trial.Configure(true); });
  }
  if (aSetup.fault == FaultKind::Overload) {
    trial.model_->ScheduleAction(aSetup.faultAtSeconds, [&trial] {
      trial.model_->SetDemandFactor(kOverload / trial.setup_.load);
    });
  }
  trial.model_->RunUntil(aSetup.seconds);
  trial.model_.reset();
  return trial;
}

DetectionTrial::DetectionTrial(const Setup& aSetup)
  : setup_(aSetup)
  , consecutiveFailures_(static_cast<std::size_t>(aSetup.servers))
{
  service_.name = "trial";
  service_.floor = aSetup.floor;
  service_.prefer = aSetup.preference;
  for (int i = 0; i < aSetup.servers; ++i) {
    BackendServer server;
    server.name = "server" + std::to_string(i);
    server.slots = aSetup.slots;
    service_.backendServers.push_back(server);
  }
  scheduler_ = ShardScheduler::Create(service_, aSetup.seed);
}

void
DetectionTrial::Configure(bool aWithFaulty)
{
  std::vector<const BackendServer*> pointers;
  for (const BackendServer& server : service_.backendServers) {
    if (aWithFaulty || &server != service_.backendServers.data()) {
      pointers.push_back(&server);
    }
  }
  scheduler_->SetBackendServers(service_, pointers, model_->Now());
}

void
DetectionTrial::CountEjection(Detection& aDetection, std::size_t aServer) const
{
  const double elapsed = model_->Seconds() - setup_.faultAtSeconds;
  if (aServer != 0 || !ShouldBeEjected(setup_.fault) || elapsed < 0) {
    aDetection.falseEjections += 1;
  } else if (!aDetection.seconds) {
    aDetection.seconds = elapsed;
  }
}

void
DetectionTrial::OnAssigned(const ModelRequest& aRequest, Instant /*aNow*/)
{
  const FaultEffect& effect = aRequest.effect;
  const bool isFailed = effect.fails || effect.hangs;
  const bool isSlowed = !isFailed && effect.timeFactor > 1;
  if (!isFailed && !isSlowed) {
    return;
  }
  affected_ += 1;
  for (Detection* detection : { &schedulerDetection_, &baseline_ }) {
    if (!detection->seconds) {
      detection->failed += isFailed ? 1 : 0;
      detection->slowed += isSlowed ? 1 : 0;
    }
  }
}

void
DetectionTrial::OnFinished(const ModelRequest& aRequest,
                           AttemptResult aResult,
                           Instant /*aNow*/)
{
  int& failures = consecutiveFailures_[aRequest.server];
  if (aResult == AttemptResult::Success) {
    failures = 0;
  } else if (aResult == AttemptResult::Failure &&
             ++failures == kBaselineFailures) {
    failures = 0;
    CountEjection(baseline_, aRequest.server);
  }
}

void
DetectionTrial::OnSettled(Instant aNow)
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
    if (!ejected_.contains(report.backendServer)) {
      CountEjection(
        schedulerDetection_,
        report.backendServer == service_.backendServers[0].name ? 0 : 1);
      lastReason_ = report.backendServer + ": " + report.lastReason;
    }
  }
  ejected_ = std::move(ejected);
}

} // namespace filbertbeam
