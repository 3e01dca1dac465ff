#include "membership/NngControlChannel.h"

#include "base/Log.h"

#include <QHostAddress>

#include <fmt/format.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <optional>
#include <utility>

namespace filbertbeam {

namespace {

// Heartbeats of 2 s and some reports. PUSH keeps what is queued while it is
// disconnected, and old control messages are of no use.
constexpr int kSendQueueMessages = 8;
constexpr nng_duration kMinReconnectTime = 100;
constexpr nng_duration kMaxReconnectTime = 1'000;

// Messages that wait for the event loop; more are dropped.
constexpr int kMaxWaiting = 1'024;

constexpr std::chrono::seconds kIdleCheckInterval{ 10 };
constexpr std::size_t kMaxNameBytes = 255;
// A socket that fails again and again stops receiving instead of spinning.
constexpr int kMaxReceiveFailures = 100;

// The same text for the same address, since it is part of what the MAC covers.
std::optional<Endpoint>
Normalize(const Endpoint& aEndpoint)
{
  QHostAddress address;
  if (!address.setAddress(QString::fromStdString(aEndpoint.address))) {
    return std::nullopt;
  }
  return Endpoint{ address.toString().toStdString(), aEndpoint.port };
}

std::string
UrlOf(const Endpoint& aEndpoint)
{
  const bool isIpv6 = aEndpoint.address.find(':') != std::string::npos;
  return isIpv6
           ? fmt::format("tcp://[{}]:{}", aEndpoint.address, aEndpoint.port)
           : fmt::format("tcp://{}:{}", aEndpoint.address, aEndpoint.port);
}

} // namespace

std::unique_ptr<NngControlChannel>
NngControlChannel::Create(const ControlChannelSettings& aSettings,
                          const Clock& aClock,
                          std::string& aReason)
{
  if (aSettings.self.host.empty() ||
      aSettings.self.host.size() > kMaxNameBytes) {
    aReason = "the host name is empty or longer than 255 bytes";
    return nullptr;
  }
  if (aSettings.secret.empty()) {
    aReason = "the fleet secret is empty";
    return nullptr;
  }
  const auto listen = Normalize(aSettings.listen);
  if (!listen) {
    aReason = fmt::format("{} is no IP address", aSettings.listen.address);
    return nullptr;
  }
  Endpoint advertised = aSettings.advertised;
  if (advertised.address.empty()) {
    advertised.address = listen->address;
  }
  const auto normalized = Normalize(advertised);
  if (!normalized) {
    aReason = fmt::format("{} is no IP address", advertised.address);
    return nullptr;
  }
  std::unique_ptr<NngControlChannel> channel(
    new NngControlChannel(aSettings, aClock));
  channel->advertised_ = *normalized;
  if (!channel->Listen(*listen, aReason)) {
    return nullptr;
  }
  if (channel->advertised_.port == 0) {
    channel->advertised_.port = channel->port_;
  }
  return channel;
}

NngControlChannel::NngControlChannel(const ControlChannelSettings& aSettings,
                                     const Clock& aClock)
  : clock_(aClock)
  , self_(aSettings.self)
  , codec_(aSettings.secret)
  , startedAt_(aClock.Now())
{
  QObject::connect(
    &idleTimer_, &QTimer::timeout, &context_, [this] { CloseIdlePeers(); });
  idleTimer_.start(kIdleCheckInterval);
}

NngControlChannel::~NngControlChannel()
{
  if (listening_.id != 0) {
    nng_close(listening_);
  }
  if (receiving_ != nullptr) {
    // Waits for a callback that runs, so that none uses the object later.
    nng_aio_stop(receiving_);
    nng_aio_free(receiving_);
  }
  for (auto& [url, peer] : peers_) {
    nng_close(peer.socket);
  }
}

bool
NngControlChannel::Listen(const Endpoint& aListen, std::string& aReason)
{
  const auto fail = [&](const char* aWhat, int aError) {
    aReason =
      fmt::format("{} {}: {}", aWhat, UrlOf(aListen), nng_strerror(aError));
    return false;
  };
  if (const int error = nng_pull0_open(&listening_); error != 0) {
    return fail("opening a socket for", error);
  }
  if (const int error =
        nng_socket_set_size(listening_, NNG_OPT_RECVMAXSZ, kMaxSealedBytes);
      error != 0) {
    return fail("limiting the messages of", error);
  }
  nng_listener listener;
  if (const int error =
        nng_listen(listening_, UrlOf(aListen).c_str(), &listener, 0);
      error != 0) {
    return fail("listening on", error);
  }
  int port = 0;
  if (const int error =
        nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
      error != 0) {
    return fail("reading the port of", error);
  }
  port_ = static_cast<std::uint16_t>(port);
  if (const int error = nng_aio_alloc(&receiving_, &OnReceived, this);
      error != 0) {
    receiving_ = nullptr;
    return fail("receiving on", error);
  }
  nng_recv_aio(listening_, receiving_);
  return true;
}

void
NngControlChannel::OnReceived(void* aChannel)
{
  static_cast<NngControlChannel*>(aChannel)->TakeReceived();
}

void
NngControlChannel::TakeReceived()
{
  if (const int error = nng_aio_result(receiving_); error != 0) {
    if (error == NNG_ECLOSED || error == NNG_ECANCELED ||
        ++receiveFailures_ > kMaxReceiveFailures) {
      return;
    }
    LogEvent(LogLevel::Warning,
             "control_receive_failed",
             { { "reason", nng_strerror(error) } });
    nng_recv_aio(listening_, receiving_);
    return;
  }
  receiveFailures_ = 0;
  nng_msg* message = nng_aio_get_msg(receiving_);
  std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                    nng_msg_len(message));
  nng_msg_free(message);
  if (waiting_.fetch_add(1) >= kMaxWaiting) {
    waiting_.fetch_sub(1);
    overflowed_.fetch_add(1);
  } else {
    QMetaObject::invokeMethod(
      &context_,
      [this, bytes = std::move(bytes)] {
        waiting_.fetch_sub(1);
        Process(bytes);
      },
      Qt::QueuedConnection);
  }
  nng_recv_aio(listening_, receiving_);
}

void
NngControlChannel::Process(const std::string& aBytes)
{
  ++counters_.received;
  const auto message = codec_.Open(aBytes, advertised_);
  if (!message) {
    ++counters_.unauthentic;
    return;
  }
  switch (filter_.Check(*message, clock_.Now(), clock_.WallNow())) {
    case ReplayFilter::Verdict::Accepted:
      break;
    case ReplayFilter::Verdict::Replayed:
      ++counters_.replayed;
      return;
    case ReplayFilter::Verdict::Outdated:
      ++counters_.outdated;
      return;
    case ReplayFilter::Verdict::Delayed:
      ++counters_.delayed;
      return;
    case ReplayFilter::Verdict::Crowded:
      ++counters_.crowded;
      return;
  }
  const auto receiver = receivers_.find(message->type);
  if (receiver != receivers_.end() && receiver->second) {
    // A copy, since the receiver may replace itself.
    const Receiver call = receiver->second;
    call(message->sender, message->payload);
  }
}

NngControlChannel::Peer*
NngControlChannel::FindOrOpenPeer(const Endpoint& aTo)
{
  const std::string url = UrlOf(aTo);
  const auto found = peers_.find(url);
  if (found != peers_.end()) {
    return &found->second;
  }
  Peer peer;
  if (const int error = nng_push0_open(&peer.socket); error != 0) {
    FailPeer(aTo, nullptr, nng_strerror(error));
    return nullptr;
  }
  int error =
    nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, kSendQueueMessages);
  if (error == 0) {
    error =
      nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, kMinReconnectTime);
  }
  if (error == 0) {
    error =
      nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, kMaxReconnectTime);
  }
  if (error == 0) {
    // Connects in the background; a peer that is not there is no failure.
    error = nng_dial(peer.socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
  if (error != 0) {
    nng_close(peer.socket);
    FailPeer(aTo, nullptr, nng_strerror(error));
    return nullptr;
  }
  return &peers_.emplace(url, peer).first->second;
}

void
NngControlChannel::FailPeer(const Endpoint& aTo,
                            Peer* aPeer,
                            std::string aReason)
{
  ++counters_.sendFailures;
  lastReason_ = fmt::format("sending to {}: {}", UrlOf(aTo), aReason);
  if (aPeer != nullptr && std::exchange(aPeer->hasFailed, true)) {
    return;
  }
  LogEvent(LogLevel::Debug,
           "control_send_failed",
           { { "peer", UrlOf(aTo) }, { "reason", aReason } });
}

void
NngControlChannel::Send(const Endpoint& aTo,
                        ControlMessageType aType,
                        ByteView aPayload)
{
  const auto to = Normalize(aTo);
  if (!to || to->port == 0) {
    FailPeer(aTo, nullptr, "no IP address and port");
    return;
  }
  if (aPayload.size() > kMaxControlPayloadBytes) {
    FailPeer(*to, nullptr, "the message is too large");
    return;
  }
  Peer* peer = FindOrOpenPeer(*to);
  if (peer == nullptr) {
    return;
  }
  const Instant now = clock_.Now();
  peer->lastUsed = now;
  SealedMessage message;
  message.sender = self_;
  message.sequence = ++sequence_;
  message.wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
    clock_.WallNow().time_since_epoch());
  message.uptime =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt_);
  message.type = aType;
  message.payload.assign(aPayload.begin(), aPayload.end());
  std::string sealed = codec_.Seal(message, *to);
  const int error =
    nng_send(peer->socket, sealed.data(), sealed.size(), NNG_FLAG_NONBLOCK);
  if (error != 0) {
    FailPeer(*to,
             peer,
             error == NNG_EAGAIN ? "the queue is full" : nng_strerror(error));
    return;
  }
  peer->hasFailed = false;
  ++counters_.sent;
}

void
NngControlChannel::SetReceiver(ControlMessageType aType, Receiver aReceiver)
{
  receivers_[aType] = std::move(aReceiver);
}

void
NngControlChannel::Redial(const Endpoint& aTo)
{
  const auto to = Normalize(aTo);
  const auto found = to ? peers_.find(UrlOf(*to)) : peers_.end();
  if (found != peers_.end()) {
    nng_close(found->second.socket);
    peers_.erase(found);
  }
}

void
NngControlChannel::CloseIdlePeers()
{
  const Instant now = clock_.Now();
  std::erase_if(peers_, [&](const auto& aEntry) {
    if (now - aEntry.second.lastUsed < Duration(kPeerIdleTime)) {
      return false;
    }
    nng_close(aEntry.second.socket);
    return true;
  });
}

ControlChannelCounters
NngControlChannel::Counters() const
{
  ControlChannelCounters counters = counters_;
  counters.overflowed = overflowed_.load();
  return counters;
}

} // namespace filbertbeam
