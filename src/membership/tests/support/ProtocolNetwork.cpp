#include "ProtocolNetwork.h"

#include <fmt/format.h>

#include <algorithm>

namespace filbertbeam {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{ 50 };
constexpr std::uint16_t kRelayPort = 8000;
constexpr std::uint16_t kControlPort = 9000;

} // namespace

ProtocolNetwork::ProtocolNetwork(const Options& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed)
  , codec_("secret of the test fleet")
{
  for (int i = 0; i < aOptions.hosts; ++i) {
    const int domain = i % aOptions.domains;
    AddHost(fmt::format("region-{}", domain % aOptions.regions),
            fmt::format("domain-{}", domain));
  }
  const std::vector<ListedHost> list = FullList();
  for (int i = 0; i < aOptions.hosts; ++i) {
    hosts_[Index(i)].list = list;
    StartProcess(i);
  }
}

int
ProtocolNetwork::AddHost(const std::string& aRegion, const std::string& aDomain)
{
  const int index = HostCount();
  Host host;
  host.listing.host = fmt::format("host-{:04}", index);
  host.listing.region = aRegion;
  host.listing.domain = aDomain;
  host.listing.address = fmt::format("10.0.{}.{}", index / 250, index % 250);
  host.listing.relayPort = kRelayPort;
  host.listing.controlPort = kControlPort;
  hostsByAddress_[host.listing.address] = index;
  hosts_.push_back(std::move(host));
  return index;
}

std::string
ProtocolNetwork::Name(int aHost) const
{
  return hosts_[Index(aHost)].listing.host;
}

std::vector<ListedHost>
ProtocolNetwork::FullList() const
{
  std::vector<ListedHost> list;
  for (const Host& host : hosts_) {
    list.push_back(host.listing);
  }
  return list;
}

void
ProtocolNetwork::StartProcess(int aHost)
{
  Host& host = hosts_[Index(aHost)];
  Member self;
  self.host = host.listing.host;
  self.region = host.listing.region;
  self.domain = host.listing.domain;
  self.relay = { host.listing.address, host.listing.relayPort };
  self.control = { host.listing.address, host.listing.controlPort };
  host.protocol = std::make_unique<HeartbeatProtocol>(self, clock_, random_);
  host.protocol->SetListedHosts(host.list);
  host.isRunning = true;
  host.isPaused = false;
  host.pendingDeliveries.clear();
  ++host.start;
  Schedule(
    Duration(static_cast<std::int64_t>(random_.Below(
      static_cast<std::uint64_t>(Duration(kHeartbeatTickInterval).count())))),
    aHost,
    nullptr);
}

void
ProtocolNetwork::Schedule(Duration aDelay,
                          int aHost,
                          std::shared_ptr<const Delivery> aDelivery)
{
  events_.push({ clock_.Now() + aDelay,
                 nextOrder_++,
                 aHost,
                 hosts_[Index(aHost)].start,
                 std::move(aDelivery) });
}

void
ProtocolNetwork::Run(Duration aDuration)
{
  const Instant end = clock_.Now() + aDuration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    clock_.Advance(event.at - clock_.Now());
    Host& host = hosts_[Index(event.host)];
    if (event.delivery != nullptr) {
      if (!host.isRunning) {
        continue;
      }
      if (host.isPaused) {
        host.pendingDeliveries.push_back(*event.delivery);
      } else {
        Deliver(event.host, *event.delivery);
      }
    } else if (host.isRunning && !host.isPaused && event.start == host.start) {
      TickHost(event.host);
    }
  }
  clock_.Advance(end - clock_.Now());
}

std::optional<Duration>
ProtocolNetwork::RunUntil(const std::function<bool()>& aCondition,
                          Duration aTimeout)
{
  const Instant start = clock_.Now();
  while (!aCondition()) {
    if (clock_.Now() - start >= aTimeout) {
      return std::nullopt;
    }
    Run(kCheckInterval);
  }
  return clock_.Now() - start;
}

void
ProtocolNetwork::TickHost(int aHost)
{
  Host& host = hosts_[Index(aHost)];
  std::uint64_t tickBytes = 0;
  for (OutgoingHeartbeat& heartbeat : host.protocol->Tick()) {
    auto delivery = std::make_shared<Delivery>();
    delivery->from = aHost;
    delivery->sender = { host.listing.host, host.protocol->Incarnation() };
    if (options_.isSealing) {
      SealedMessage message;
      message.sender = delivery->sender;
      message.sequence = ++host.sequence;
      const auto sinceEpoch = clock_.WallNow().time_since_epoch();
      message.wallTime =
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
      message.uptime = message.wallTime;
      message.payload = std::move(heartbeat.payload);
      delivery->bytes = codec_.Seal(message, heartbeat.to);
    } else {
      delivery->bytes = std::move(heartbeat.payload);
    }
    ++sentMessages_;
    tickBytes += delivery->bytes.size();
    const auto receiver = hostsByAddress_.find(heartbeat.to.address);
    if (receiver == hostsByAddress_.end()) {
      continue;
    }
    const int to = receiver->second;
    const bool isCut = Index(to) < host.cutTo.size() && host.cutTo[Index(to)];
    if (isCut || random_.Uniform() < options_.loss) {
      continue;
    }
    Schedule(options_.latency, to, std::move(delivery));
  }
  sentBytes_ += tickBytes;
  host.sentBytes += tickBytes;
  Schedule(kHeartbeatTickInterval, aHost, nullptr);
}

void
ProtocolNetwork::Deliver(int aHost, const Delivery& aDelivery)
{
  Host& host = hosts_[Index(aHost)];
  if (!options_.isSealing) {
    host.protocol->OnHeartbeat(aDelivery.sender, aDelivery.bytes);
    return;
  }
  const auto message = codec_.Open(
    aDelivery.bytes, { host.listing.address, host.listing.controlPort });
  if (message) {
    host.protocol->OnHeartbeat(message->sender, message->payload);
  }
}

void
ProtocolNetwork::Kill(int aHost)
{
  hosts_[Index(aHost)].isRunning = false;
}

void
ProtocolNetwork::Restart(int aHost)
{
  StartProcess(aHost);
}

void
ProtocolNetwork::Pause(int aHost)
{
  hosts_[Index(aHost)].isPaused = true;
}

void
ProtocolNetwork::Resume(int aHost)
{
  Host& host = hosts_[Index(aHost)];
  host.isPaused = false;
  std::vector<Delivery> pendingDeliveries;
  pendingDeliveries.swap(host.pendingDeliveries);
  for (const Delivery& delivery : pendingDeliveries) {
    Deliver(aHost, delivery);
  }
  Schedule(Duration::zero(), aHost, nullptr);
}

void
ProtocolNetwork::Cut(int aFrom, int aTo)
{
  std::vector<bool>& cutTo = hosts_[Index(aFrom)].cutTo;
  cutTo.resize(hosts_.size());
  cutTo[Index(aTo)] = true;
}

void
ProtocolNetwork::CutBothWays(const std::function<bool(int)>& aIsOnOneSide)
{
  for (int from = 0; from < HostCount(); ++from) {
    for (int to = 0; to < HostCount(); ++to) {
      if (aIsOnOneSide(from) != aIsOnOneSide(to)) {
        Cut(from, to);
      }
    }
  }
}

void
ProtocolNetwork::HealAll()
{
  for (Host& host : hosts_) {
    host.cutTo.clear();
  }
}

int
ProtocolNetwork::AddUnlisted(const std::string& aDomain)
{
  const std::vector<ListedHost> list = FullList();
  const int index = AddHost(hosts_.front().listing.region, aDomain);
  hosts_[Index(index)].list = list;
  StartProcess(index);
  return index;
}

void
ProtocolNetwork::SetList(int aHost, const std::vector<ListedHost>& aHosts)
{
  hosts_[Index(aHost)].list = aHosts;
  hosts_[Index(aHost)].protocol->SetListedHosts(aHosts);
}

HostState
ProtocolNetwork::StateOf(int aHost, int aSeenBy)
{
  const Member* member = At(aSeenBy).View()->Find(Name(aHost));
  return member == nullptr ? HostState::Unreachable : member->state;
}

bool
ProtocolNetwork::IsLiveInNoOtherView(int aHost)
{
  for (int i = 0; i < HostCount(); ++i) {
    if (i != aHost && IsRunning(i) && !hosts_[Index(i)].isPaused &&
        StateOf(aHost, i) == HostState::Live) {
      return false;
    }
  }
  return true;
}

void
ProtocolNetwork::ResetCounters()
{
  sentMessages_ = 0;
  sentBytes_ = 0;
  for (Host& host : hosts_) {
    host.sentBytes = 0;
  }
}

std::uint64_t
ProtocolNetwork::GreatestHostBytes() const
{
  std::uint64_t greatest = 0;
  for (const Host& host : hosts_) {
    greatest = std::max(greatest, host.sentBytes);
  }
  return greatest;
}

} // namespace filbertbeam
