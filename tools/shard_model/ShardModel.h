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

// Demand of one customer. Requests have Poisson arrivals and are classified by
// a token bucket that holds two seconds of the promised rate.
struct CustomerModel
{
  std::string name;
  double promise = 0;
  double requestsPerSecond = 0;
};

// One request of the model.
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

// Receives the events of the model in chronological order.
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
  // Called when a request is refused at its submission or later.
  virtual void OnRefused(const ModelRequest& /*aRequest*/,
                         RefusalReason /*aReason*/,
                         Instant /*aNow*/)
  {
  }
  // Called after every event, when the scheduler has nothing left to do at
  // aNow.
  virtual void OnSettled(Instant /*aNow*/) {}
};

// A deterministic, event-driven simulation of the callers and backend servers
// of a scheduler. Equal options and schedulers give equal sequences of events.
class ShardModel
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    std::vector<CustomerModel> customers;
    ServiceTimeModel::Options serviceTime;
    // Share of requests that fail at healthy servers.
    double failureRate = 0.001;
    double idempotentShare = 0.8;
    double timeoutSeconds = 30;
    FaultKind fault = FaultKind::None;
    double faultAtSeconds = 0;
    // Names of the servers; a server's index is its number in the fault model.
    std::vector<std::string> servers;
  };

  ShardModel(ShardScheduler& aScheduler,
             const Options& aOptions,
             ShardModelObserver& aObserver);

  // Runs aAction when aSeconds have passed since the start.
  void ScheduleAction(double aSeconds, std::function<void()> aAction);
  // Multiplies the arrival rates of all customers from now on.
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
    // Index of the customer or action, or id of the request, by kind.
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
