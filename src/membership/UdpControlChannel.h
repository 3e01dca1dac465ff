#pragma once

#include "base/Clock.h"
#include "membership/ControlChannel.h"
#include "membership/DatagramAssembler.h"
#include "membership/DatagramSocket.h"
#include "membership/ReplayFilter.h"
#include "membership/SealedMessage.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace filbertbeam {

struct ControlChannelSettings
{
  ControlSender self;
  // Port 0 lets the operating system choose a free one.
  Endpoint listen;
  // The address and port that other hosts pass to Send for this host: messages
  // that are sealed for another endpoint are refused. An empty address stands
  // for the listening address, port 0 for the listening port.
  Endpoint advertised;
  std::string secret;
};

struct ControlChannelCounters
{
  std::uint64_t sent = 0;
  // Messages that were dropped because the address was invalid, the message was
  // too large or the operating system did not accept it at once.
  std::uint64_t sendFailures = 0;
  // Messages whose datagrams have all arrived.
  std::uint64_t received = 0;
  // Messages that are malformed, have a wrong MAC or were sealed for another
  // endpoint.
  std::uint64_t unauthentic = 0;
  std::uint64_t replayed = 0;
  std::uint64_t outdated = 0;
  std::uint64_t delayed = 0;
  std::uint64_t tooManySenders = 0;
};

// ControlChannel over UDP. There are no connections, so that a peer which dies
// or is cut off can neither delay a call nor leave anything to close. Receivers
// are called on the thread that created the object, from its event loop.
class UdpControlChannel final : public ControlChannel
{
public:
  // aClock has to outlive the object. Returns null and fills aReason when the
  // address cannot be bound or a setting is invalid.
  static std::unique_ptr<UdpControlChannel> Create(
    const ControlChannelSettings& aSettings,
    const Clock& aClock,
    std::string& aReason);

  // Never blocks; a message that cannot be sent at once is dropped and counted.
  void Send(const Endpoint& aTo,
            ControlMessageType aType,
            ByteView aPayload) override;
  void SetReceiver(ControlMessageType aType, Receiver aReceiver) override;

  std::uint16_t Port() const { return socket_->LocalEndpoint().port; }
  const ControlChannelCounters& Counters() const { return counters_; }
  // Returns the reason of the last failure, for logs and operators.
  const std::string& LastReason() const { return lastReason_; }

private:
  UdpControlChannel(const ControlChannelSettings& aSettings,
                    const Clock& aClock);
  void Fail(const Endpoint& aTo, std::string_view aReason);
  void OnDatagram(const Endpoint& aSender, ByteView aDatagram);
  void OnMessage(std::string_view aBytes);

  const Clock& clock_;
  ControlSender self_;
  Endpoint advertised_;
  SealedMessageCodec codec_;
  ReplayFilter filter_;
  Instant startedAt_;
  std::uint64_t sequence_ = 0;
  std::string lastReason_;
  ControlChannelCounters counters_;
  std::map<ControlMessageType, Receiver> receivers_;
  DatagramAssembler assembler_;
  std::unique_ptr<DatagramSocket> socket_;
};

} // namespace filbertbeam
