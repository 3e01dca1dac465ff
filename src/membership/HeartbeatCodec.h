#pragma once

#include "membership/MemberRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

struct Heartbeat
{
  MemberRecord sender;
  // The sender lacks records and asks its partners to fill their heartbeats.
  bool wantsRecords = false;
  // ShortId of the hosts receivedFrom lately.
  std::vector<std::uint32_t> receivedFrom;
  // ShortId of hosts of which the receiver sent a record that the sender of
  // this heartbeat cannot use without the details.
  std::vector<std::uint32_t> detailRequests;
  // Records of other members, passed on.
  std::vector<MemberRecord> updates;

  bool operator==(const Heartbeat&) const = default;
};

// CBOR form of a heartbeat. Decode accepts any input: it returns nothing for
// one that is malformed or exceeds a bound.
class HeartbeatCodec
{
public:
  static constexpr std::size_t kMaxBytes = 4096;
  static constexpr std::size_t kMaxReceivedFrom = 16;
  static constexpr std::size_t kMaxDetailRequests = 8;
  static constexpr std::size_t kMaxUpdates = 20;
  static constexpr std::size_t kMaxDisconnectedPartners = 8;
  static constexpr std::size_t kMaxNameBytes = 255;
  // Leaves room above every valid version, so that a host can always exceed
  // a version it hears about itself.
  static constexpr std::uint64_t kMaxVersion = 1ULL << 62;

  static std::string Encode(const Heartbeat& aHeartbeat);
  static std::optional<Heartbeat> Decode(ByteView aBytes);

  // Bytes that a record takes within a heartbeat.
  static std::size_t EncodedSize(const MemberRecord& aRecord);
};

} // namespace filbertbeam
