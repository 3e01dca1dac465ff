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
  // Port 0 picks a free one.
  Endpoint listen;
  // The address and port at which other hosts reach this one, as they give it
  // to Send: messages sealed for another endpoint are refused. Empty stands
  // for the listening address; port 0 for the listening port.
  Endpoint advertised;
  std::string secret;
};

struct ControlChannelCounters
{
  std::uint64_t sent = 0;
  // Dropped because the address is none, the message is too large or the
  // operating system did not take it at once.
  std::uint64_t sendFailures = 0;
  // Whole messages.
  std::uint64_t received = 0;
  // Wrong MAC, malformed, or sealed for another endpoint.
  std::uint64_t unauthentic = 0;
  std::uint64_t replayed = 0;
  std::uint64_t outdated = 0;
  std::uint64_t delayed = 0;
  std::uint64_t tooManySenders = 0;
};

// ControlChannel over UDP. There are no connections, so a peer that dies or
// is cut off can neither delay a call nor leave anything to close. Receivers
// are called on the thread that created the object, from its event loop.
class UdpControlChannel final : public ControlChannel
{
public:
  // aClock has to outlive the object. Returns null and fills aReason where the
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
  // Reason of the last failure, for logs and operators.
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
