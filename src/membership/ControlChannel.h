#pragma once

#include "http/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace filbertbeam {

enum class ControlMessageType : std::uint8_t
{
  Heartbeat = 1,
  DemandReport = 2,
  ShareGrant = 3,
};

struct ControlSender
{
  std::string host;
  std::uint64_t incarnation = 0;
};

// Sends and receives authenticated datagrams between hosts, on the control
// thread. Each message is delivered at most once; a lost message is not
// reported.
class ControlChannel
{
public:
  // The payload is CBOR; it is valid only during the call.
  using Receiver =
    std::function<void(const ControlSender& aSender, ByteView aPayload)>;

  virtual ~ControlChannel() = default;

  virtual void Send(const Endpoint& aTo,
                    ControlMessageType aType,
                    ByteView aPayload) = 0;

  // Sets the only receiver of a type; a later call replaces it.
  virtual void SetReceiver(ControlMessageType aType, Receiver aReceiver) = 0;
};

} // namespace filbertbeam
