#include "slots/EjectionPolicy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace filbertbeam {

namespace {

using namespace std::chrono_literals;

// A cold server gets one request at a time for this long.
constexpr Duration kSingleRequestPeriod = 1s;

constexpr Duration kFirstBackOff = 5s;
constexpr Duration kLongestBackOff = 5min;
// An ejection makes later back-offs longer for this long. The period has to be
// well above kLongestBackOff; otherwise a server that flaps for hours would
// return to short back-offs.
constexpr Duration kRecentEjectionPeriod = 1h;
// The back-off reaches its maximum after six ejections, so that older ones need
// not be kept.
constexpr std::size_t kMaxRememberedEjections = 8;

constexpr int kPassedTrialsToReadmit = 5;
// Maximum mean excess over the passed trials, in spreads; a server above it is
// still too slow. The mean of five samples exceeds it in 5% of cases for a
// healthy server, and in four of five cases for a server at half speed.
constexpr double kMaxMeanTrialExcess = 0.75;
// Weight of the latest trial in the severity of an ejected server.
constexpr double kTrialSeverityWeight = 0.2;
constexpr double kFailedTrialSeverity = 3;

// A server replaces an ejected one only if its severity is this many times
// higher, since both are estimates from a few samples.
constexpr double kSwapSeverityFactor = 2;

// Keeps ceil() from rounding up the floating-point error of a product such as
// 0.55 x 20.
constexpr double kRoundingSlack = 1e-9;

} // namespace

EjectionPolicy::EjectionPolicy(double aFloor)
  : floor_(std::clamp(aFloor, 0.0, 1.0))
{
}

void
EjectionPolicy::SetConfiguredServers(double aFloor,
                                     std::span<const ConfiguredServer> aServers,
                                     Instant aNow)
{
  floor_ = std::clamp(aFloor, 0.0, 1.0);
  std::map<ServerId, Record> previous = std::exchange(records_, {});
  for (const ConfiguredServer& server : aServers) {
    const auto found = previous.find(server.id);
    const bool wasConfigured = found != previous.end();
    Record record = wasConfigured ? found->second : Record{};
    record.slots = server.slots;
    if (server.isLeaving) {
      record.state = ServerState::Leaving;
    } else if (!wasConfigured || record.state == ServerState::Leaving) {
      // A server that was leaving and no longer is has probably been restarted.
      // An owner that has just started does not know which servers are cold;
      // limiting every server to one request would cut the shard's capacity at
      // each change of owner.
      record.state = hasServers_ ? ServerState::Cold : ServerState::Healthy;
      record.addedAt = aNow;
    }
    records_.emplace(server.id, std::move(record));
  }
  hasServers_ = true;
  EnforceFloor();
}

bool
EjectionPolicy::TryEject(ServerId aServer, double aSeverity, Instant aNow)
{
  const auto found = records_.find(aServer);
  if (found == records_.end() || found->second.state != ServerState::Healthy) {
    return false;
  }
  Record& record = found->second;
  Capacity remaining = HealthyCapacity();
  remaining.servers -= 1;
  remaining.slots -= record.slots;
  if (!IsAboveFloor(remaining)) {
    Record* const least = LeastUnhealthyEjected();
    if (least == nullptr || aSeverity < kSwapSeverityFactor * least->severity) {
      return false;
    }
    remaining.servers += 1;
    remaining.slots += least->slots;
    if (!IsAboveFloor(remaining)) {
      return false;
    }
    least->state = ServerState::Healthy;
  }
  record.severity = aSeverity;
  Eject(record, aNow);
  return true;
}

void
EjectionPolicy::OnTrialResult(ServerId aServer,
                              bool aHasPassed,
                              double aExcess,
                              Instant aNow)
{
  const auto found = records_.find(aServer);
  if (found == records_.end() || found->second.state != ServerState::Trial) {
    return;
  }
  Record& record = found->second;
  record.severity +=
    kTrialSeverityWeight *
    ((aHasPassed ? std::max(aExcess, 0.0) : kFailedTrialSeverity) -
     record.severity);
  if (!aHasPassed) {
    Eject(record, aNow);
    return;
  }
  record.passedTrials += 1;
  record.trialExcessSum += aExcess;
  if (record.passedTrials < kPassedTrialsToReadmit) {
    return;
  }
  if (record.trialExcessSum > kMaxMeanTrialExcess * record.passedTrials) {
    Eject(record, aNow);
    return;
  }
  record.state = ServerState::Healthy;
}

void
EjectionPolicy::Advance(Instant aNow)
{
  for (auto& [id, record] : records_) {
    if (record.state == ServerState::Cold &&
        aNow >= record.addedAt + kColdPeriod) {
      record.state = ServerState::Healthy;
    } else if (record.state == ServerState::Ejected && aNow >= record.trialAt) {
      record.state = ServerState::Trial;
      record.passedTrials = 0;
      record.trialExcessSum = 0;
    }
  }
}

std::optional<Instant>
EjectionPolicy::NextEvent(Instant aNow) const
{
  std::optional<Instant> next;
  const auto consider = [&next](Instant aInstant) {
    next = next ? std::min(*next, aInstant) : aInstant;
  };
  for (const auto& [id, record] : records_) {
    if (record.state == ServerState::Cold) {
      const Instant unlimitedAt = record.addedAt + kSingleRequestPeriod;
      consider(aNow < unlimitedAt ? unlimitedAt : record.addedAt + kColdPeriod);
    } else if (record.state == ServerState::Ejected) {
      consider(record.trialAt);
    }
  }
  return next;
}

ServerState
EjectionPolicy::State(ServerId aServer) const
{
  const auto found = records_.find(aServer);
  return found == records_.end() ? ServerState::Leaving : found->second.state;
}

int
EjectionPolicy::ConcurrencyLimit(ServerId aServer, Instant aNow) const
{
  const auto found = records_.find(aServer);
  if (found == records_.end()) {
    return 0;
  }
  switch (found->second.state) {
    case ServerState::Healthy:
      return std::numeric_limits<int>::max();
    case ServerState::Cold:
      return aNow < found->second.addedAt + kSingleRequestPeriod
               ? 1
               : std::numeric_limits<int>::max();
    case ServerState::Trial:
      return 1;
    case ServerState::Ejected:
    case ServerState::Leaving:
      return 0;
  }
  return 0;
}

int
EjectionPolicy::RecentEjections(ServerId aServer, Instant aNow) const
{
  const auto found = records_.find(aServer);
  if (found == records_.end()) {
    return 0;
  }
  const std::deque<Instant>& ejections = found->second.ejections;
  return static_cast<int>(
    std::count_if(ejections.begin(), ejections.end(), [aNow](Instant aAt) {
      return aAt + kRecentEjectionPeriod > aNow;
    }));
}

bool
EjectionPolicy::IsEjected(const Record& aRecord)
{
  return aRecord.state == ServerState::Ejected ||
         aRecord.state == ServerState::Trial;
}

EjectionPolicy::Capacity
EjectionPolicy::HealthyCapacity() const
{
  Capacity capacity;
  for (const auto& [id, record] : records_) {
    if (record.state == ServerState::Healthy) {
      capacity.servers += 1;
      capacity.slots += record.slots;
    }
  }
  return capacity;
}

bool
EjectionPolicy::IsAboveFloor(const Capacity& aHealthy) const
{
  int slots = 0;
  for (const auto& [id, record] : records_) {
    slots += record.slots;
  }
  const auto needed = [this](double aConfigured) {
    return std::ceil(floor_ * aConfigured - kRoundingSlack);
  };
  // The floor applies to slots as well: where servers differ in size, the
  // number of servers alone would allow the large ones to be ejected.
  return aHealthy.servers >= needed(static_cast<double>(records_.size())) &&
         aHealthy.slots >= floor_ * slots - kRoundingSlack;
}

EjectionPolicy::Record*
EjectionPolicy::LeastUnhealthyEjected()
{
  Record* least = nullptr;
  for (auto& [id, record] : records_) {
    if (IsEjected(record) &&
        (least == nullptr || record.severity < least->severity)) {
      least = &record;
    }
  }
  return least;
}

void
EjectionPolicy::EnforceFloor()
{
  while (!IsAboveFloor(HealthyCapacity())) {
    Record* const least = LeastUnhealthyEjected();
    if (least == nullptr) {
      return;
    }
    least->state = ServerState::Healthy;
  }
}

void
EjectionPolicy::Eject(Record& aRecord, Instant aNow)
{
  while (!aRecord.ejections.empty() &&
         aRecord.ejections.front() + kRecentEjectionPeriod <= aNow) {
    aRecord.ejections.pop_front();
  }
  Duration backOff = kFirstBackOff;
  for (std::size_t i = 0; i < aRecord.ejections.size(); ++i) {
    backOff = std::min(2 * backOff, kLongestBackOff);
  }
  aRecord.state = ServerState::Ejected;
  aRecord.trialAt = aNow + backOff;
  // A failed trial counts as an ejection; otherwise a server that stays broken
  // would fail a request every few seconds indefinitely.
  aRecord.ejections.push_back(aNow);
  if (aRecord.ejections.size() > kMaxRememberedEjections) {
    aRecord.ejections.pop_front();
  }
}

} // namespace filbertbeam
