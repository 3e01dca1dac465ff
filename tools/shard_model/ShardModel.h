#pragma once

#include "base/SeededRandom.h"
#include "shard_model/FaultModel.h"
#include "shard_model/ServiceTimeModel.h"
#include "slots/ShardScheduler.h"

#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Demand of one customer: Poisson arrivals, classified by a token bucket of
// two seconds of the promise.
struct CustomerModel
{
  std::string name;
  double promise = 0;
  double requestsPerSecond = 0;
};

// One request as the model saw it.
struct ModelRequest
{
  std::uint64_t id = 0;
  std::size_t customer = 0;
  RequestClass requestClass = RequestClass::InContract;
  Instant arrivedAt;
  Instant assignedAt;
  std::size_t server = 0;
  bool isTrial = false;
  FaultEffect effect;
};

// Events of the model, in order of time.
class ShardModelObserver
{
public:
  virtual ~ShardModelObserver() = default;

  virtual void OnAssigned(const ModelRequest& /*aRequest*/, Instant /*aNow*/) {}
  virtual void OnFinished(const ModelRequest& /*aRequest*/,
                          AttemptResult /*aResult*/,
                          Instant /*aNow*/)
  {
  }
  // Refused at submission or later.
  virtual void OnRefused(const ModelRequest& /*aRequest*/,
                         RefusalReason /*aReason*/,
                         Instant /*aNow*/)
  {
  }
  // After every event, when the scheduler has nothing left to do at aNow.
  virtual void OnSettled(Instant /*aNow*/) {}
};

// A deterministic, event-driven model of callers and backend servers around a
// scheduler. Equal options and schedulers give equal histories.
class ShardModel
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    std::vector<CustomerModel> customers;
    ServiceTimeModel::Options serviceTime;
    // Failures of healthy servers.
    double failureRate = 0.001;
    double idempotentShare = 0.8;
    double timeoutSeconds = 30;
    FaultKind fault = FaultKind::None;
    double faultAtSeconds = 0;
    // Places in Service::backendServers of a server, by name.
    std::vector<std::string> servers;
  };

  ShardModel(ShardScheduler& aScheduler,
             const Options& aOptions,
             ShardModelObserver& aObserver);

  // Runs aAction at that time after the start.
  void ScheduleAction(double aSeconds, std::function<void()> aAction);
  // Multiplies all rates of arrival from now on.
  void SetDemandFactor(double aFactor) { demandFactor_ = aFactor; }
  void RunUntil(double aSeconds);

  Instant Now() const { return now_; }
  double Seconds() const;

private:
  struct Event
  {
    enum class Kind
    {
      Arrival,
      Head,
      Finish,
      Action,
    };

    Instant at;
    std::uint64_t order = 0;
    Kind kind = Kind::Arrival;
    // Customer, request or action.
    std::uint64_t subject = 0;
    AttemptResult result = AttemptResult::Success;

    bool operator>(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  struct Bucket
  {
    double tokens = 0;
    Instant at;
  };

  void Schedule(Instant aAt,
                Event::Kind aKind,
                std::uint64_t aSubject,
                AttemptResult aResult = AttemptResult::Success);
  void ScheduleArrival(std::size_t aCustomer);
  void Handle(const Event& aEvent);
  void Arrive(std::size_t aCustomer);
  void Start(const Assignment& aAssignment);
  void Settle();
  RequestClass Classify(std::size_t aCustomer);

  ShardScheduler& scheduler_;
  Options options_;
  ShardModelObserver& observer_;
  SeededRandom arrivals_;
  SeededRandom services_;
  ServiceTimeModel serviceTime_;
  FaultModel fault_;
  double demandFactor_ = 1;
  Instant start_;
  Instant now_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t nextRequest_ = 1;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_map<std::uint64_t, ModelRequest> requests_;
  std::unordered_map<std::string, std::size_t> serverIndex_;
  std::vector<Bucket> buckets_;
  std::vector<std::function<void()>> actions_;
};

} // namespace filbertbeam
