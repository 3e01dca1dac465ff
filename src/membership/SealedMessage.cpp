#include "membership/SealedMessage.h"

#include "base/Digest.h"
#include "membership/CborInput.h"

#include <QCborStreamWriter>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::uint64_t kFormatVersion = 1;
// The MAC and the body.
constexpr std::size_t kOuterElements = 2;
constexpr std::size_t kBodyElements = 8;
constexpr std::size_t kMaxNameBytes = 255;
constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();
// Leaves room for every later calculation in signed 64-bit nanoseconds.
constexpr std::uint64_t kMaxMilliseconds =
  std::numeric_limits<std::int64_t>::max() / 2'000'000;

void
AppendBytes(QCborStreamWriter& aWriter, const std::string& aBytes)
{
  aWriter.appendByteString(aBytes.data(),
                           static_cast<qsizetype>(aBytes.size()));
}

std::optional<ControlMessageType>
TypeFromNumber(std::uint64_t aNumber)
{
  for (const auto type : { ControlMessageType::Heartbeat,
                           ControlMessageType::DemandReport,
                           ControlMessageType::ShareGrant }) {
    if (static_cast<std::uint64_t>(type) == aNumber) {
      return type;
    }
  }
  return std::nullopt;
}

std::uint64_t
ToNumber(std::chrono::milliseconds aTime)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aTime.count(), 0));
}

} // namespace

SealedMessageCodec::SealedMessageCodec(std::string aSecret)
  : secret_(std::move(aSecret))
{
}

std::string
SealedMessageCodec::Mac(std::string_view aBody, const Endpoint& aReceiver) const
{
  std::string data = fmt::format("{} {}\n", aReceiver.address, aReceiver.port);
  data += aBody;
  return HmacSha256(secret_, data).substr(0, kMacBytes);
}

std::string
SealedMessageCodec::Seal(const SealedMessage& aMessage,
                         const Endpoint& aReceiver) const
{
  QByteArray body;
  QCborStreamWriter writer(&body);
  writer.startArray(kBodyElements);
  writer.append(static_cast<quint64>(kFormatVersion));
  writer.append(static_cast<quint64>(aMessage.type));
  writer.appendTextString(aMessage.sender.host.data(),
                          static_cast<qsizetype>(aMessage.sender.host.size()));
  writer.append(static_cast<quint64>(aMessage.sender.incarnation));
  writer.append(static_cast<quint64>(aMessage.sequence));
  writer.append(static_cast<quint64>(ToNumber(aMessage.wallTime)));
  writer.append(static_cast<quint64>(ToNumber(aMessage.uptime)));
  AppendBytes(writer, aMessage.payload);
  writer.endArray();

  const std::string bodyBytes = body.toStdString();
  QByteArray sealed;
  QCborStreamWriter outer(&sealed);
  outer.startArray(kOuterElements);
  AppendBytes(outer, Mac(bodyBytes, aReceiver));
  AppendBytes(outer, bodyBytes);
  outer.endArray();
  return sealed.toStdString();
}

std::optional<SealedMessage>
SealedMessageCodec::Open(ByteView aBytes, const Endpoint& aReceiver) const
{
  if (aBytes.size() > kMaxSealedBytes) {
    return std::nullopt;
  }
  CborInput outer(aBytes);
  if (outer.EnterArray(kOuterElements) != kOuterElements) {
    return std::nullopt;
  }
  const std::string mac = outer.ReadBytes(kMacBytes);
  const std::string body = outer.ReadBytes(kMaxSealedBytes);
  outer.LeaveArray();
  // The body is not parsed before its MAC has been verified.
  if (!outer.IsComplete() || !ConstantTimeEquals(mac, Mac(body, aReceiver))) {
    return std::nullopt;
  }

  CborInput input(body);
  if (input.EnterArray(kBodyElements) != kBodyElements ||
      input.ReadUnsigned(kFormatVersion) != kFormatVersion) {
    return std::nullopt;
  }
  SealedMessage message;
  const auto type = TypeFromNumber(input.ReadUnsigned(kUnbounded));
  message.sender.host = input.ReadText(kMaxNameBytes);
  message.sender.incarnation = input.ReadUnsigned(kUnbounded);
  message.sequence = input.ReadUnsigned(kUnbounded);
  message.wallTime =
    std::chrono::milliseconds(input.ReadUnsigned(kMaxMilliseconds));
  message.uptime =
    std::chrono::milliseconds(input.ReadUnsigned(kMaxMilliseconds));
  message.payload = input.ReadBytes(kMaxControlPayloadBytes);
  input.LeaveArray();
  if (!type || !input.IsComplete() || message.sender.host.empty()) {
    return std::nullopt;
  }
  message.type = *type;
  return message;
}

} // namespace filbertbeam
