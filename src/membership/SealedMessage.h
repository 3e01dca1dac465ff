#pragma once

#include "membership/ControlChannel.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Bytes that sealing adds to a payload, without the sender's name.
inline constexpr std::size_t kMaxSealedOverhead = 72;
inline constexpr std::size_t kMaxControlPayloadBytes = 60 * 1024;
inline constexpr std::size_t kMaxSealedBytes = 64 * 1024;
inline constexpr std::size_t kMacBytes = 16;

// One control message as it travels between hosts.
struct SealedMessage
{
  ControlSender sender;
  // Grows with every message of this incarnation, to any receiver.
  std::uint64_t sequence = 0;
  // Wall time of the sender, since the epoch.
  std::chrono::milliseconds wallTime{ 0 };
  // Time since the sender started, by its monotonic clock.
  std::chrono::milliseconds uptime{ 0 };
  ControlMessageType type = ControlMessageType::Heartbeat;
  std::string payload;
};

// Seals messages with HMAC-SHA-256 of the fleet secret, cut to 16 bytes. The
// receiver's endpoint is part of what the MAC covers, so that a message cannot
// be replayed to another host.
class SealedMessageCodec
{
public:
  explicit SealedMessageCodec(std::string aSecret);

  // aMessage.payload has at most kMaxControlPayloadBytes.
  std::string Seal(const SealedMessage& aMessage,
                   const Endpoint& aReceiver) const;

  // Accepts any input; returns nothing where the MAC is wrong or the content
  // is malformed or exceeds a bound. Replays are not detected here.
  std::optional<SealedMessage> Open(ByteView aBytes,
                                    const Endpoint& aReceiver) const;

private:
  std::string Mac(std::string_view aBody, const Endpoint& aReceiver) const;

  std::string secret_;
};

} // namespace filbertbeam
