#include "membership/HeartbeatCodec.h"

#include "membership/CborInput.h"

#include <QCborStreamWriter>

#include <limits>

namespace filbertbeam {

namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::uint64_t kHeartbeatElements = 6;
// A record has 5 scalar fields, the list of partners, and the details where
// they are present.
constexpr std::size_t kRecordElements = 6;
constexpr std::size_t kDetailElements = 7;
constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();

void
AppendText(QCborStreamWriter& aWriter, const std::string& aText)
{
  aWriter.appendTextString(aText.data(), static_cast<qsizetype>(aText.size()));
}

void
AppendShortIds(QCborStreamWriter& aWriter,
               const std::vector<std::uint32_t>& aIds)
{
  aWriter.startArray(aIds.size());
  for (const std::uint32_t id : aIds) {
    aWriter.append(static_cast<quint64>(id));
  }
  aWriter.endArray();
}

void
AppendRecord(QCborStreamWriter& aWriter, const MemberRecord& aRecord)
{
  aWriter.startArray(kRecordElements +
                     (aRecord.details ? kDetailElements : 0U));
  aWriter.append(static_cast<quint64>(aRecord.id));
  aWriter.append(static_cast<quint64>(aRecord.incarnation));
  aWriter.append(static_cast<quint64>(aRecord.version));
  aWriter.append(aRecord.isLeaving);
  aWriter.append(static_cast<quint64>(aRecord.configurationRevision));
  AppendShortIds(aWriter, aRecord.disconnectedPartners);
  if (aRecord.details) {
    const HostDetails& details = *aRecord.details;
    AppendText(aWriter, details.host);
    AppendText(aWriter, details.region);
    AppendText(aWriter, details.domain);
    AppendText(aWriter, details.relay.address);
    aWriter.append(static_cast<quint64>(details.relay.port));
    AppendText(aWriter, details.control.address);
    aWriter.append(static_cast<quint64>(details.control.port));
  }
  aWriter.endArray();
}

std::vector<std::uint32_t>
ReadShortIds(CborInput& aInput, std::size_t aMaxElements)
{
  std::vector<std::uint32_t> ids(aInput.EnterArray(aMaxElements));
  for (std::uint32_t& id : ids) {
    id = static_cast<std::uint32_t>(
      aInput.ReadUnsigned(std::numeric_limits<std::uint32_t>::max()));
  }
  aInput.LeaveArray();
  return ids;
}

Endpoint
ReadEndpoint(CborInput& aInput)
{
  Endpoint endpoint;
  endpoint.address = aInput.ReadText(HeartbeatCodec::kMaxNameBytes);
  endpoint.port = static_cast<std::uint16_t>(aInput.ReadUnsigned(kMaxPort));
  return endpoint;
}

// Sets aIsValid to false when the record has a wrong number of elements, or
// when it is well-formed but inconsistent.
MemberRecord
ReadRecord(CborInput& aInput, bool& aIsValid)
{
  MemberRecord record;
  const std::size_t elements =
    aInput.EnterArray(kRecordElements + kDetailElements);
  if (elements != kRecordElements &&
      elements != kRecordElements + kDetailElements) {
    aIsValid = false;
    return record;
  }
  record.id = aInput.ReadUnsigned(kUnbounded);
  record.incarnation = aInput.ReadUnsigned(kUnbounded);
  record.version = aInput.ReadUnsigned(HeartbeatCodec::kMaxVersion);
  record.isLeaving = aInput.ReadBool();
  record.configurationRevision = aInput.ReadUnsigned(kUnbounded);
  record.disconnectedPartners =
    ReadShortIds(aInput, HeartbeatCodec::kMaxDisconnectedPartners);
  if (elements > kRecordElements) {
    HostDetails details;
    details.host = aInput.ReadText(HeartbeatCodec::kMaxNameBytes);
    details.region = aInput.ReadText(HeartbeatCodec::kMaxNameBytes);
    details.domain = aInput.ReadText(HeartbeatCodec::kMaxNameBytes);
    details.relay = ReadEndpoint(aInput);
    details.control = ReadEndpoint(aInput);
    // Otherwise a record could change the name of another host.
    aIsValid = aIsValid && HostId(details.host) == record.id;
    record.details = std::move(details);
  }
  aInput.LeaveArray();
  return record;
}

std::size_t
UnsignedSize(std::uint64_t aValue)
{
  if (aValue < 24) {
    return 1;
  }
  if (aValue <= std::numeric_limits<std::uint8_t>::max()) {
    return 2;
  }
  if (aValue <= std::numeric_limits<std::uint16_t>::max()) {
    return 3;
  }
  return aValue <= std::numeric_limits<std::uint32_t>::max() ? 5 : 9;
}

std::size_t
TextSize(const std::string& aText)
{
  return UnsignedSize(aText.size()) + aText.size();
}

} // namespace

std::string
HeartbeatCodec::Encode(const Heartbeat& aHeartbeat)
{
  QByteArray bytes;
  QCborStreamWriter writer(&bytes);
  writer.startArray(kHeartbeatElements);
  writer.append(static_cast<quint64>(kFormatVersion));
  AppendRecord(writer, aHeartbeat.sender);
  writer.append(aHeartbeat.wantsRecords);
  AppendShortIds(writer, aHeartbeat.receivedFrom);
  AppendShortIds(writer, aHeartbeat.detailRequests);
  writer.startArray(aHeartbeat.updates.size());
  for (const MemberRecord& record : aHeartbeat.updates) {
    AppendRecord(writer, record);
  }
  writer.endArray();
  writer.endArray();
  return bytes.toStdString();
}

std::optional<Heartbeat>
HeartbeatCodec::Decode(ByteView aBytes)
{
  if (aBytes.size() > kMaxBytes) {
    return std::nullopt;
  }
  CborInput input(aBytes);
  if (input.EnterArray(kHeartbeatElements) != kHeartbeatElements ||
      input.ReadUnsigned(kFormatVersion) != kFormatVersion) {
    return std::nullopt;
  }
  Heartbeat heartbeat;
  bool isValid = true;
  heartbeat.sender = ReadRecord(input, isValid);
  heartbeat.wantsRecords = input.ReadBool();
  heartbeat.receivedFrom = ReadShortIds(input, kMaxReceivedFrom);
  heartbeat.detailRequests = ReadShortIds(input, kMaxDetailRequests);
  const std::size_t updates = input.EnterArray(kMaxUpdates);
  heartbeat.updates.reserve(updates);
  for (std::size_t i = 0; i < updates && isValid && !input.HasFailed(); ++i) {
    heartbeat.updates.push_back(ReadRecord(input, isValid));
  }
  input.LeaveArray();
  input.LeaveArray();
  if (!isValid || !input.IsComplete()) {
    return std::nullopt;
  }
  return heartbeat;
}

std::size_t
HeartbeatCodec::EncodedSize(const MemberRecord& aRecord)
{
  std::size_t size = 1 + UnsignedSize(aRecord.id) +
                     UnsignedSize(aRecord.incarnation) +
                     UnsignedSize(aRecord.version) + 1 +
                     UnsignedSize(aRecord.configurationRevision) +
                     UnsignedSize(aRecord.disconnectedPartners.size());
  for (const std::uint32_t id : aRecord.disconnectedPartners) {
    size += UnsignedSize(id);
  }
  if (aRecord.details) {
    const HostDetails& details = *aRecord.details;
    size += TextSize(details.host) + TextSize(details.region) +
            TextSize(details.domain) + TextSize(details.relay.address) +
            UnsignedSize(details.relay.port) +
            TextSize(details.control.address) +
            UnsignedSize(details.control.port);
  }
  return size;
}

} // namespace filbertbeam
