#include "balancing/SelectionMessages.h"

#include "membership/CborInput.h"

#include <QCborStreamWriter>

#include <algorithm>
#include <cmath>
#include <limits>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kVersion = 2;
constexpr std::uint64_t kAsk = 1;
constexpr std::uint64_t kAnswer = 2;
constexpr std::uint64_t kReport = 3;
constexpr std::uint64_t kHello = 4;
constexpr std::uint64_t kBeat = 5;
constexpr std::uint64_t kWithdrawal = 6;

constexpr std::size_t kMaxNameBytes = 256;
// Servers that a request may exclude or avoid; keeps the datagram small.
constexpr std::size_t kMaxServers = 16;
constexpr std::size_t kMaxElements = 18;
constexpr std::uint32_t kMaxShards = 65'536;
constexpr std::uint64_t kMaxMilliseconds = 86'400'000;
constexpr double kMillicores = 1'000;
constexpr std::uint64_t kMaxMillicores = 1'000'000'000;
constexpr std::uint64_t kMaxTicket = std::numeric_limits<std::int64_t>::max();

void
AppendText(QCborStreamWriter& aWriter, const std::string& aText)
{
  aWriter.appendTextString(aText.data(), static_cast<qsizetype>(aText.size()));
}

void
AppendDuration(QCborStreamWriter& aWriter, Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<milliseconds>(aDuration).count();
  aWriter.append(static_cast<quint64>(std::max<std::int64_t>(count, 0)));
}

void
AppendServers(QCborStreamWriter& aWriter,
              const std::vector<std::string>& aServers)
{
  const std::size_t count = std::min(aServers.size(), kMaxServers);
  aWriter.startArray(count);
  for (std::size_t i = 0; i < count; ++i) {
    AppendText(aWriter, aServers[i]);
  }
  aWriter.endArray();
}

void
AppendVersions(QCborStreamWriter& aWriter, const KnownVersions& aKnown)
{
  aWriter.append(static_cast<quint64>(aKnown.configuration));
  aWriter.append(static_cast<quint64>(aKnown.directory));
}

void
Append(QCborStreamWriter& aWriter, const SelectionAsk& aAsk)
{
  const SelectionRequest& request = aAsk.request;
  aWriter.startArray(18);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kAsk));
  aWriter.append(static_cast<quint64>(aAsk.call));
  AppendText(aWriter, request.service);
  aWriter.append(static_cast<quint64>(request.shard.index));
  aWriter.append(static_cast<quint64>(request.shard.count));
  AppendText(aWriter, request.route);
  aWriter.append(static_cast<quint64>(request.purpose));
  aWriter.append(request.isIdempotent);
  aWriter.append(request.hasLargeResponses);
  AppendDuration(aWriter, request.latencyObjective);
  AppendDuration(aWriter, request.remaining);
  AppendText(aWriter, request.host);
  AppendText(aWriter, request.domain);
  AppendServers(aWriter, request.excluded);
  AppendServers(aWriter, request.avoided);
  AppendVersions(aWriter, aAsk.known);
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const SelectionAnswer& aAnswer)
{
  const Selection selection = aAnswer.result.selection.value_or(Selection{});
  aWriter.startArray(11);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kAnswer));
  aWriter.append(static_cast<quint64>(aAnswer.call));
  aWriter.append(static_cast<quint64>(selection.ticket));
  AppendText(aWriter, selection.backendServer);
  AppendDuration(aWriter, selection.hedgeAfter);
  aWriter.append(selection.isConfirmed);
  AppendText(aWriter, aAnswer.result.reason);
  AppendDuration(aWriter, aAnswer.result.retryAfter);
  AppendVersions(aWriter, aAnswer.known);
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const SelectionReport& aReport)
{
  const std::size_t count =
    std::min(aReport.results.size(), SelectionReport::kMaxResults);
  aWriter.startArray(3);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kReport));
  aWriter.startArray(2 * count);
  for (std::size_t i = 0; i < count; ++i) {
    aWriter.append(static_cast<quint64>(aReport.results[i].ticket));
    aWriter.append(static_cast<quint64>(aReport.results[i].result));
  }
  aWriter.endArray();
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const SelectionWithdrawal& aWithdrawal)
{
  aWriter.startArray(3);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kWithdrawal));
  aWriter.append(static_cast<quint64>(aWithdrawal.call));
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const SelectionHello& aHello)
{
  aWriter.startArray(6);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kHello));
  AppendText(aWriter, aHello.host);
  AppendText(aWriter, aHello.domain);
  aWriter.append(static_cast<quint64>(
    std::clamp(std::round(aHello.processorCores * kMillicores),
               0.0,
               static_cast<double>(kMaxMillicores))));
  aWriter.append(aHello.isAnswerWanted);
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const WatcherBeat& aBeat)
{
  aWriter.startArray(9);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kBeat));
  AppendText(aWriter, aBeat.host);
  aWriter.append(aBeat.isReading);
  AppendVersions(aWriter, aBeat.known);
  AppendVersions(aWriter, aBeat.readUpTo);
  aWriter.append(static_cast<quint64>(aBeat.snapshotPort));
  aWriter.endArray();
}

Duration
ReadDuration(CborInput& aInput)
{
  return milliseconds(aInput.ReadUnsigned(kMaxMilliseconds));
}

std::vector<std::string>
ReadServers(CborInput& aInput)
{
  const std::size_t count = aInput.EnterArray(kMaxServers);
  std::vector<std::string> servers;
  for (std::size_t i = 0; i < count; ++i) {
    servers.push_back(aInput.ReadText(kMaxNameBytes));
  }
  aInput.LeaveArray();
  return servers;
}

KnownVersions
ReadVersions(CborInput& aInput)
{
  KnownVersions known;
  known.configuration = aInput.ReadUnsigned(kMaxTicket);
  known.directory = aInput.ReadUnsigned(kMaxTicket);
  return known;
}

SelectionAsk
ReadAsk(CborInput& aInput)
{
  SelectionAsk ask;
  ask.call = aInput.ReadUnsigned(kMaxTicket);
  SelectionRequest& request = ask.request;
  request.service = aInput.ReadText(kMaxNameBytes);
  request.shard.index =
    static_cast<std::uint32_t>(aInput.ReadUnsigned(kMaxShards));
  request.shard.count =
    static_cast<std::uint32_t>(aInput.ReadUnsigned(kMaxShards));
  request.route = aInput.ReadText(kMaxNameBytes);
  request.purpose = static_cast<AttemptPurpose>(
    aInput.ReadUnsigned(static_cast<std::uint64_t>(AttemptPurpose::Hedge)));
  request.isIdempotent = aInput.ReadBool();
  request.hasLargeResponses = aInput.ReadBool();
  request.latencyObjective = ReadDuration(aInput);
  request.remaining = ReadDuration(aInput);
  request.host = aInput.ReadText(kMaxNameBytes);
  request.domain = aInput.ReadText(kMaxNameBytes);
  request.excluded = ReadServers(aInput);
  request.avoided = ReadServers(aInput);
  ask.known = ReadVersions(aInput);
  return ask;
}

SelectionAnswer
ReadAnswer(CborInput& aInput)
{
  SelectionAnswer answer;
  answer.call = aInput.ReadUnsigned(kMaxTicket);
  Selection selection;
  selection.ticket = aInput.ReadUnsigned(kMaxTicket);
  selection.backendServer = aInput.ReadText(kMaxNameBytes);
  selection.hedgeAfter = ReadDuration(aInput);
  selection.isConfirmed = aInput.ReadBool();
  answer.result.reason = aInput.ReadText(kMaxNameBytes);
  answer.result.retryAfter = ReadDuration(aInput);
  answer.known = ReadVersions(aInput);
  if (!selection.backendServer.empty()) {
    answer.result.selection = std::move(selection);
  }
  return answer;
}

SelectionReport
ReadReport(CborInput& aInput)
{
  SelectionReport report;
  const std::size_t count =
    aInput.EnterArray(2 * SelectionReport::kMaxResults) / 2;
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t ticket = aInput.ReadUnsigned(kMaxTicket);
    const auto result = static_cast<AttemptResult>(
      aInput.ReadUnsigned(static_cast<std::uint64_t>(AttemptResult::Unused)));
    report.results.push_back({ ticket, result });
  }
  aInput.LeaveArray();
  return report;
}

SelectionHello
ReadHello(CborInput& aInput)
{
  SelectionHello hello;
  hello.host = aInput.ReadText(kMaxNameBytes);
  hello.domain = aInput.ReadText(kMaxNameBytes);
  hello.processorCores =
    static_cast<double>(aInput.ReadUnsigned(kMaxMillicores)) / kMillicores;
  hello.isAnswerWanted = aInput.ReadBool();
  return hello;
}

WatcherBeat
ReadBeat(CborInput& aInput)
{
  WatcherBeat beat;
  beat.host = aInput.ReadText(kMaxNameBytes);
  beat.isReading = aInput.ReadBool();
  beat.known = ReadVersions(aInput);
  beat.readUpTo = ReadVersions(aInput);
  beat.snapshotPort = static_cast<std::uint16_t>(aInput.ReadUnsigned(0xFFFF));
  return beat;
}

} // namespace

std::string
EncodeSelectionMessage(const SelectionMessage& aMessage)
{
  QByteArray bytes;
  QCborStreamWriter writer(&bytes);
  std::visit([&writer](const auto& aKind) { Append(writer, aKind); }, aMessage);
  return bytes.toStdString();
}

std::optional<SelectionMessage>
DecodeSelectionMessage(ByteView aBytes)
{
  CborInput input(aBytes);
  input.EnterArray(kMaxElements);
  if (input.ReadUnsigned(kVersion) != kVersion) {
    return std::nullopt;
  }
  SelectionMessage message;
  switch (input.ReadUnsigned(kWithdrawal)) {
    case kAsk:
      message = ReadAsk(input);
      break;
    case kAnswer:
      message = ReadAnswer(input);
      break;
    case kReport:
      message = ReadReport(input);
      break;
    case kHello:
      message = ReadHello(input);
      break;
    case kBeat:
      message = ReadBeat(input);
      break;
    case kWithdrawal:
      message = SelectionWithdrawal{ input.ReadUnsigned(kMaxTicket) };
      break;
    default:
      return std::nullopt;
  }
  input.LeaveArray();
  if (!input.IsComplete()) {
    return std::nullopt;
  }
  return message;
}

} // namespace filbertbeam
