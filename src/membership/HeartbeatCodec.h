#pragma once

#include "membership/MemberRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

struct Heartbeat
{
  MemberRecord sender;
  // The sender lacks records and requests that its partners fill their
  // heartbeats with them.
  bool wantsRecords = false;
  // ShortIds of the hosts from which the sender currently receives heartbeats.
  std::vector<std::uint32_t> receivedFrom;
  // ShortIds of hosts whose details the sender needs, because the receiver sent
  // their records without them.
  std::vector<std::uint32_t> detailRequests;
  // Records of other members, which the sender forwards.
  std::vector<MemberRecord> updates;

  bool operator==(const Heartbeat&) const = default;
};

// Encodes and decodes heartbeats as CBOR. Decode accepts any input, and returns
// nothing when it is malformed or exceeds a bound.
class HeartbeatCodec
{
public:
  static constexpr std::size_t kMaxBytes = 4096;
  static constexpr std::size_t kMaxReceivedFrom = 16;
  static constexpr std::size_t kMaxDetailRequests = 8;
  static constexpr std::size_t kMaxUpdates = 20;
  static constexpr std::size_t kMaxDisconnectedPartners = 8;
  static constexpr std::size_t kMaxNameBytes = 255;
  // Leaves room above every valid version, so that a host can always exceed a
  // version that it receives in a record about itself.
  static constexpr std::uint64_t kMaxVersion = 1ULL << 62;

  static std::string Encode(const Heartbeat& aHeartbeat);
  static std::optional<Heartbeat> Decode(ByteView aBytes);

  // Returns the bytes that a record takes within a heartbeat.
  static std::size_t EncodedSize(const MemberRecord& aRecord);
};

} // namespace filbertbeam
