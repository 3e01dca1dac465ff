#pragma once

#include "membership/ControlChannel.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Greatest number of bytes that sealing adds to a payload, without the sender's
// name.
inline constexpr std::size_t kMaxSealedOverhead = 72;
inline constexpr std::size_t kMaxControlPayloadBytes = 60 * 1024;
inline constexpr std::size_t kMaxSealedBytes = 64 * 1024;
inline constexpr std::size_t kMacBytes = 16;

// A control message with the fields that are sealed for its transfer between
// hosts.
struct SealedMessage
{
  ControlSender sender;
  // Increases with every message of this incarnation, whoever the receiver is.
  std::uint64_t sequence = 0;
  // Wall time of the sender, since the epoch.
  std::chrono::milliseconds wallTime{ 0 };
  // Time since the sender started, by its monotonic clock.
  std::chrono::milliseconds uptime{ 0 };
  ControlMessageType type = ControlMessageType::Heartbeat;
  std::string payload;
};

// Authenticates messages with HMAC-SHA-256 of the fleet secret, truncated to 16
// bytes. The MAC covers the receiver's endpoint too, so that a message cannot
// be replayed to another host.
class SealedMessageCodec
{
public:
  explicit SealedMessageCodec(std::string aSecret);

  // aMessage.payload has at most kMaxControlPayloadBytes.
  std::string Seal(const SealedMessage& aMessage,
                   const Endpoint& aReceiver) const;

  // Accepts any input; returns nothing when the MAC is wrong or when the
  // content is malformed or exceeds a bound. Does not detect replays.
  std::optional<SealedMessage> Open(ByteView aBytes,
                                    const Endpoint& aReceiver) const;

private:
  std::string Mac(std::string_view aBody, const Endpoint& aReceiver) const;

  std::string secret_;
};

} // namespace filbertbeam
