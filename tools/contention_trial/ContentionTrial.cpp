#include "ContentionTrial.h"

#include "FifoScheduler.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

double
ContentionTrial::ClassStatistics::WaitQuantile(double aShare) const
{
  if (waits.empty()) {
    return 0;
  }
  std::vector<double> sorted = waits;
  const auto rank = static_cast<std::ptrdiff_t>(
    std::max(0.0, std::ceil(aShare * static_cast<double>(sorted.size())) - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<std::size_t>(rank)];
}

double
ContentionTrial::Result::SpareUsed() const
{
  const double spare = 1 - inContractUtilization;
  return spare > 0 ? (utilization - inContractUtilization) / spare : 1;
}

ContentionTrial::Result
ContentionTrial::Run(const Setup& aSetup)
{
  Service service;
  service.name = "trial";
  ShardModel::Options options;
  options.seed = aSetup.seed;
  std::vector<const BackendServer*> pointers;
  service.backendServers.resize(static_cast<std::size_t>(aSetup.servers));
  for (BackendServer& server : service.backendServers) {
    server.name = "server" + std::to_string(pointers.size());
    server.slots = aSetup.slots;
    options.servers.push_back(server.name);
    pointers.push_back(&server);
  }
  const double capacity =
    aSetup.servers * aSetup.slots / options.serviceTime.meanSeconds;
  const double promise =
    aSetup.load * capacity / (aSetup.lightCustomers + aSetup.heavyFactor);
  options.customers.push_back(
    { "heavy", promise, aSetup.heavyFactor * promise });
  for (int i = 0; i < aSetup.lightCustomers; ++i) {
    options.customers.push_back(
      { "light" + std::to_string(i), promise, promise });
  }
  ContentionTrial trial;
  trial.served_.resize(options.customers.size());
  trial.offered_.resize(options.customers.size());
  const std::unique_ptr<ShardScheduler> scheduler =
    aSetup.isFifo ? std::make_unique<FifoScheduler>()
                  : ShardScheduler::Create(service, aSetup.seed);
  ShardModel model(*scheduler, options, trial);
  scheduler->SetBackendServers(service, pointers, model.Now());
  model.RunUntil(aSetup.seconds);
  Result result = std::move(trial.result_);
  result.promise = promise;
  for (std::size_t i = 0; i < options.customers.size(); ++i) {
    result.servedShares.push_back(trial.served_[i] / aSetup.seconds / promise);
    result.offeredShares.push_back(trial.offered_[i] / aSetup.seconds /
                                   promise);
  }
  const double slotSeconds = aSetup.seconds * aSetup.servers * aSetup.slots;
  result.utilization = trial.busySeconds_ / slotSeconds;
  result.inContractUtilization = trial.inContractBusySeconds_ / slotSeconds;
  return result;
}

ContentionTrial::ClassStatistics&
ContentionTrial::StatisticsOf(const ModelRequest& aRequest)
{
  return aRequest.requestClass == RequestClass::Excess ? result_.excess
                                                       : result_.inContract;
}

void
ContentionTrial::OnAssigned(const ModelRequest& aRequest, Instant aNow)
{
  ClassStatistics& statistics = StatisticsOf(aRequest);
  statistics.offered += 1;
  statistics.waits.push_back(Seconds(aNow - aRequest.arrivedAt));
  offered_[aRequest.customer] += 1;
  served_[aRequest.customer] += 1;
}

void
ContentionTrial::OnFinished(const ModelRequest& aRequest,
                            AttemptResult /*aResult*/,
                            Instant aNow)
{
  const double seconds = Seconds(aNow - aRequest.assignedAt);
  busySeconds_ += seconds;
  if (aRequest.requestClass == RequestClass::InContract) {
    inContractBusySeconds_ += seconds;
  }
}

void
ContentionTrial::OnRefused(const ModelRequest& aRequest,
                           RefusalReason /*aReason*/,
                           Instant /*aNow*/)
{
  ClassStatistics& statistics = StatisticsOf(aRequest);
  statistics.offered += 1;
  statistics.refused += 1;
  offered_[aRequest.customer] += 1;
}

} // namespace filbertbeam
