#include "membership/UdpControlChannel.h"

#include "base/Log.h"

#include <QHostAddress>

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::size_t kMaxNameBytes = 255;

// Returns the same text for every spelling of an address, because the MAC
// covers the text.
std::optional<Endpoint>
Normalize(const Endpoint& aEndpoint)
{
  QHostAddress address;
  if (!address.setAddress(QString::fromStdString(aEndpoint.address))) {
    return std::nullopt;
  }
  return Endpoint{ address.toString().toStdString(), aEndpoint.port };
}

} // namespace

std::unique_ptr<UdpControlChannel>
UdpControlChannel::Create(const ControlChannelSettings& aSettings,
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
    aReason = fmt::format("{} is not an IP address", aSettings.listen.address);
    return nullptr;
  }
  Endpoint advertised = aSettings.advertised;
  if (advertised.address.empty()) {
    advertised.address = listen->address;
  }
  const auto normalized = Normalize(advertised);
  if (!normalized) {
    aReason = fmt::format("{} is not an IP address", advertised.address);
    return nullptr;
  }
  std::unique_ptr<UdpControlChannel> channel(
    new UdpControlChannel(aSettings, aClock));
  channel->advertised_ = *normalized;
  channel->socket_ = DatagramSocket::Create(*listen, aReason);
  if (!channel->socket_) {
    return nullptr;
  }
  UdpControlChannel* self = channel.get();
  channel->socket_->SetHandler(
    [self](const Endpoint& aSender, ByteView aDatagram) {
      self->OnDatagram(aSender, aDatagram);
    });
  if (channel->advertised_.port == 0) {
    channel->advertised_.port = channel->Port();
  }
  return channel;
}

UdpControlChannel::UdpControlChannel(const ControlChannelSettings& aSettings,
                                     const Clock& aClock)
  : clock_(aClock)
  , self_(aSettings.self)
  , codec_(aSettings.secret)
  , startedAt_(aClock.Now())
{
}

void
UdpControlChannel::OnDatagram(const Endpoint& aSender, ByteView aDatagram)
{
  const std::uint64_t malformed = assembler_.Malformed();
  const auto message = assembler_.Add(aSender, aDatagram, clock_.Now());
  if (message) {
    OnMessage(*message);
  } else if (assembler_.Malformed() > malformed) {
    ++counters_.unauthentic;
  }
}

void
UdpControlChannel::OnMessage(std::string_view aBytes)
{
  ++counters_.received;
  const auto message =
    codec_.Open({ aBytes.data(), aBytes.size() }, advertised_);
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
    case ReplayFilter::Verdict::TooManySenders:
      ++counters_.tooManySenders;
      return;
  }
  const auto receiver = receivers_.find(message->type);
  if (receiver != receivers_.end() && receiver->second) {
    // A copy is called, because the receiver may replace itself.
    const Receiver call = receiver->second;
    call(message->sender, message->payload);
  }
}

void
UdpControlChannel::Fail(const Endpoint& aTo, std::string_view aReason)
{
  ++counters_.sendFailures;
  lastReason_ =
    fmt::format("sending to {}:{}: {}", aTo.address, aTo.port, aReason);
  LogEvent(LogLevel::Debug,
           "control_send_failed",
           { { "address", aTo.address },
             { "port", aTo.port },
             { "reason", aReason } });
}

void
UdpControlChannel::Send(const Endpoint& aTo,
                        ControlMessageType aType,
                        ByteView aPayload)
{
  const auto to = Normalize(aTo);
  if (!to || to->port == 0) {
    Fail(aTo, "not an IP address with a port");
    return;
  }
  if (aPayload.size() > kMaxControlPayloadBytes) {
    Fail(*to, "the message is too large");
    return;
  }
  SealedMessage message;
  message.sender = self_;
  message.sequence = ++sequence_;
  message.wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
    clock_.WallNow().time_since_epoch());
  message.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
    clock_.Now() - startedAt_);
  message.type = aType;
  message.payload.assign(aPayload.begin(), aPayload.end());
  for (const std::string& datagram : DivideIntoDatagrams(
         codec_.Seal(message, *to), static_cast<std::uint32_t>(sequence_))) {
    if (!socket_->Send(*to, datagram)) {
      Fail(*to, "the operating system did not accept a datagram");
      return;
    }
  }
  ++counters_.sent;
}

void
UdpControlChannel::SetReceiver(ControlMessageType aType, Receiver aReceiver)
{
  receivers_[aType] = std::move(aReceiver);
}

} // namespace filbertbeam
