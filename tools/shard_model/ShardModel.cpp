#include "shard_model/ShardModel.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

using namespace std::chrono_literals;

constexpr double kBurstSeconds = 2;
constexpr double kSlowReadSeconds = 5;
// Time from the assignment of a request until its last byte has been sent.
constexpr double kSendSeconds = 0.001;

} // namespace

ShardModel::ShardModel(ShardScheduler& aScheduler,
                       const Options& aOptions,
                       ShardModelObserver& aObserver)
  : scheduler_(aScheduler)
  , options_(aOptions)
  , observer_(aObserver)
  , arrivals_(aOptions.seed)
  , services_(aOptions.seed ^ 0x9e3779b97f4a7c15ULL)
  , serviceTime_(aOptions.serviceTime)
  , fault_(aOptions.fault)
  , start_(Instant{} + 1h)
  , now_(start_)
{
  for (std::size_t i = 0; i < options_.servers.size(); ++i) {
    serverIndex_.emplace(options_.servers[i], i);
  }
  for (std::size_t i = 0; i < options_.customers.size(); ++i) {
    buckets_.push_back(
      { std::max(1.0, kBurstSeconds * options_.customers[i].promise), now_ });
    ScheduleArrival(i);
  }
}

void
ShardModel::ScheduleAction(double aSeconds, std::function<void()> aAction)
{
  actions_.push_back(std::move(aAction));
  Schedule(
    start_ + FromSeconds(aSeconds), Event::Kind::Action, actions_.size() - 1);
}

double
ShardModel::Seconds() const
{
  return std::chrono::duration<double>(now_ - start_).count();
}

void
ShardModel::RunUntil(double aSeconds)
{
  const Instant end = start_ + FromSeconds(aSeconds);
  while (true) {
    const std::optional<Instant> timer = scheduler_.NextEvent(now_);
    const bool hasEvent = !events_.empty() && events_.top().at <= end;
    if (timer && *timer <= end && (!hasEvent || *timer <= events_.top().at)) {
      now_ = std::max(now_, *timer);
      Settle();
      continue;
    }
    if (!hasEvent) {
      break;
    }
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
    Settle();
  }
  now_ = end;
}

void
ShardModel::Schedule(Instant aAt,
                     Event::Kind aKind,
                     std::uint64_t aSubject,
                     AttemptResult aResult)
{
  events_.push({ aAt, nextOrder_++, aKind, aSubject, aResult });
}

void
ShardModel::ScheduleArrival(std::size_t aCustomer)
{
  const double rate =
    options_.customers[aCustomer].requestsPerSecond * demandFactor_;
  if (rate > 0) {
    Schedule(now_ + FromSeconds(-std::log(1 - arrivals_.Uniform()) / rate),
             Event::Kind::Arrival,
             aCustomer);
  }
}

void
ShardModel::Handle(const Event& aEvent)
{
  switch (aEvent.kind) {
    case Event::Kind::Arrival:
      ScheduleArrival(aEvent.subject);
      Arrive(aEvent.subject);
      break;
    case Event::Kind::Head:
      scheduler_.OnResponseHead(aEvent.subject, now_);
      break;
    case Event::Kind::Finish: {
      scheduler_.Complete(aEvent.subject, aEvent.result, now_);
      const auto found = requests_.find(aEvent.subject);
      observer_.OnFinished(found->second, aEvent.result, now_);
      requests_.erase(found);
      break;
    }
    case Event::Kind::Action:
      actions_[aEvent.subject]();
      break;
  }
}

void
ShardModel::Arrive(std::size_t aCustomer)
{
  const CustomerModel& customer = options_.customers[aCustomer];
  ModelRequest request;
  request.id = nextRequest_++;
  request.customer = aCustomer;
  request.requestClass = Classify(aCustomer);
  request.arrivedAt = now_;
  ShardRequest submitted;
  submitted.id = request.id;
  submitted.customer = customer.name;
  submitted.promise = customer.promise;
  submitted.requestClass = request.requestClass;
  submitted.isIdempotent = arrivals_.Uniform() < options_.idempotentShare;
  submitted.deadline = now_ + FromSeconds(options_.timeoutSeconds);
  if (const auto refusal = scheduler_.Submit(submitted, now_)) {
    observer_.OnRefused(request, *refusal, now_);
    return;
  }
  requests_.emplace(request.id, request);
}

void
ShardModel::Start(const Assignment& aAssignment)
{
  ModelRequest& request = requests_.at(aAssignment.requestId);
  request.assignedAt = now_;
  request.server = serverIndex_.at(aAssignment.backendServer);
  request.isTrial = aAssignment.isTrial;
  const double faultAge = Seconds() - options_.faultAtSeconds;
  request.effect =
    fault_.EffectOn(request.server, request.customer, faultAge, services_);
  // Always drawn, so that a fault does not change later random numbers.
  const double seconds = serviceTime_.Seconds(services_);
  const bool isFailure = services_.Uniform() < options_.failureRate;
  observer_.OnAssigned(request, now_);
  const Instant sentAt = now_ + FromSeconds(kSendSeconds);
  scheduler_.OnRequestSent(request.id, sentAt);
  const Instant deadline =
    request.arrivedAt + FromSeconds(options_.timeoutSeconds);
  const Instant respondedAt =
    sentAt + FromSeconds(seconds * request.effect.timeFactor);
  if (request.effect.hangs || respondedAt >= deadline) {
    Schedule(deadline, Event::Kind::Finish, request.id, AttemptResult::Failure);
    return;
  }
  if (request.effect.sheds) {
    const Instant shedAt = sentAt + FromSeconds(kSendSeconds);
    Schedule(shedAt, Event::Kind::Head, request.id);
    Schedule(shedAt, Event::Kind::Finish, request.id, AttemptResult::Shed);
    return;
  }
  Schedule(respondedAt, Event::Kind::Head, request.id);
  const bool isSlowRead = fault_.Kind() == FaultKind::SlowCallers &&
                          faultAge >= 0 && request.customer == 0;
  Schedule(respondedAt + FromSeconds(isSlowRead ? kSlowReadSeconds : 0),
           Event::Kind::Finish,
           request.id,
           isFailure || request.effect.fails ? AttemptResult::Failure
                                             : AttemptResult::Success);
}

void
ShardModel::Settle()
{
  for (const Refusal& refusal : scheduler_.Expire(now_)) {
    const auto found = requests_.find(refusal.requestId);
    observer_.OnRefused(found->second, refusal.reason, now_);
    requests_.erase(found);
  }
  for (const Assignment& assignment : scheduler_.Dispatch(now_)) {
    Start(assignment);
  }
  observer_.OnSettled(now_);
}

RequestClass
ShardModel::Classify(std::size_t aCustomer)
{
  const double promise = options_.customers[aCustomer].promise;
  Bucket& bucket = buckets_[aCustomer];
  const double elapsed =
    std::chrono::duration<double>(now_ - bucket.at).count();
  bucket.at = now_;
  bucket.tokens = std::min(std::max(1.0, kBurstSeconds * promise),
                           bucket.tokens + elapsed * promise);
  if (bucket.tokens < 1) {
    return RequestClass::Excess;
  }
  bucket.tokens -= 1;
  return RequestClass::InContract;
}

} // namespace filbertbeam
