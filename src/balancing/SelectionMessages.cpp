#include "balancing/SelectionMessages.h"

#include "membership/CborInput.h"

#include <QCborStreamWriter>

#include <algorithm>
#include <cmath>
#include <limits>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kVersion = 4;
constexpr std::uint64_t kQuery = 1;
constexpr std::uint64_t kResponse = 2;
constexpr std::uint64_t kReport = 3;
constexpr std::uint64_t kAnnouncement = 4;
constexpr std::uint64_t kCancellation = 6;
constexpr std::uint64_t kQuotaQuery = 7;
constexpr std::uint64_t kQuotaResponse = 8;
// 5 is in use by earlier releases, whose heartbeats have another form.
constexpr std::uint64_t kHeartbeat = 9;
constexpr std::uint64_t kMaxKind = kHeartbeat;

constexpr std::size_t kMaxNameBytes = 256;
// Maximum number of servers that a request may exclude or avoid, the last ones
// of each list; keeps the datagram small.
constexpr std::size_t kMaxServers = 16;
constexpr std::size_t kMaxElements = 21;
constexpr std::uint32_t kMaxShards = 65'536;
constexpr int kMaxPriority = 1'000;
constexpr std::uint64_t kMaxMilliseconds = 86'400'000;
constexpr std::uint64_t kMaxTokens = 100'000;
// Elements of a demand and of a grant in the array of a quota message.
constexpr std::size_t kDemandElements = 4;
constexpr std::size_t kGrantElements = 5;
constexpr double kMillicores = 1'000;
constexpr std::uint64_t kMaxMillicores = 1'000'000'000;
constexpr std::uint64_t kMaxTicket = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();

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
  for (std::size_t i = aServers.size() - count; i < aServers.size(); ++i) {
    AppendText(aWriter, aServers[i]);
  }
  aWriter.endArray();
}

void
AppendVersion(QCborStreamWriter& aWriter, const CatalogVersion& aVersion)
{
  aWriter.append(static_cast<quint64>(aVersion.generation));
  aWriter.append(static_cast<quint64>(aVersion.revision));
}

// Appends four elements.
void
AppendVersions(QCborStreamWriter& aWriter, const KnownVersions& aKnown)
{
  AppendVersion(aWriter, aKnown.configuration);
  AppendVersion(aWriter, aKnown.directory);
}

void
Append(QCborStreamWriter& aWriter, const SelectionQuery& aQuery)
{
  const SelectionRequest& request = aQuery.request;
  aWriter.startArray(21);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kQuery));
  aWriter.append(static_cast<quint64>(aQuery.queryId));
  AppendText(aWriter, request.service);
  aWriter.append(static_cast<quint64>(request.shard.index));
  aWriter.append(static_cast<quint64>(request.shard.count));
  AppendText(aWriter, request.route);
  aWriter.append(static_cast<quint64>(request.purpose));
  aWriter.append(request.isIdempotent);
  aWriter.append(request.hasLargeResponses);
  aWriter.append(
    static_cast<quint64>(std::clamp(request.priority, 0, kMaxPriority)));
  AppendDuration(aWriter, request.latencyObjective);
  AppendDuration(aWriter, request.remaining);
  AppendText(aWriter, request.host);
  AppendText(aWriter, request.domain);
  AppendServers(aWriter, request.excluded);
  AppendServers(aWriter, request.avoided);
  AppendVersions(aWriter, aQuery.known);
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const SelectionResponse& aResponse)
{
  const Selection selection = aResponse.result.selection.value_or(Selection{});
  aWriter.startArray(14);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kResponse));
  aWriter.append(static_cast<quint64>(aResponse.queryId));
  aWriter.append(static_cast<quint64>(selection.ticket));
  AppendText(aWriter, selection.backendServer);
  AppendDuration(aWriter, selection.hedgeAfter);
  aWriter.append(selection.hasRespondedRecently);
  AppendText(aWriter, aResponse.result.reason);
  AppendDuration(aWriter, aResponse.result.retryAfter);
  AppendVersions(aWriter, aResponse.known);
  aWriter.append(aResponse.isWaiting);
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
Append(QCborStreamWriter& aWriter, const SelectionCancellation& aCancellation)
{
  aWriter.startArray(3);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kCancellation));
  aWriter.append(static_cast<quint64>(aCancellation.queryId));
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const HostAnnouncement& aAnnouncement)
{
  aWriter.startArray(6);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kAnnouncement));
  AppendText(aWriter, aAnnouncement.host);
  AppendText(aWriter, aAnnouncement.domain);
  aWriter.append(static_cast<quint64>(
    std::clamp(std::round(aAnnouncement.processorCores * kMillicores),
               0.0,
               static_cast<double>(kMaxMillicores))));
  aWriter.append(aAnnouncement.isResponseWanted);
  aWriter.endArray();
}

void
AppendAge(QCborStreamWriter& aWriter, Duration aAge)
{
  AppendDuration(aWriter,
                 std::min<Duration>(aAge, milliseconds(kMaxMilliseconds)));
}

void
Append(QCborStreamWriter& aWriter, const WatcherHeartbeat& aHeartbeat)
{
  aWriter.startArray(19);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kHeartbeat));
  AppendText(aWriter, aHeartbeat.host);
  aWriter.append(aHeartbeat.isCatalogReachable);
  AppendVersions(aWriter, aHeartbeat.known);
  AppendVersions(aWriter, aHeartbeat.readUpTo);
  AppendVersions(aWriter, aHeartbeat.historyBegin);
  AppendAge(aWriter, aHeartbeat.catalogAge);
  AppendAge(aWriter, aHeartbeat.configurationAge);
  aWriter.append(static_cast<quint64>(aHeartbeat.snapshotPort));
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const QuotaQuery& aQuery)
{
  const std::size_t count =
    std::min(aQuery.demands.size(), QuotaQuery::kMaxDemands);
  aWriter.startArray(7);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kQuotaQuery));
  aWriter.append(static_cast<quint64>(aQuery.queryId));
  AppendText(aWriter, aQuery.host);
  AppendText(aWriter, aQuery.domain);
  AppendText(aWriter, aQuery.missedHome);
  aWriter.startArray(count * kDemandElements);
  for (std::size_t i = 0; i < count; ++i) {
    const QuotaDemand& demand = aQuery.demands[i];
    AppendText(aWriter, demand.workspace);
    aWriter.append(
      static_cast<quint64>(std::min<std::uint64_t>(demand.wanted, kMaxTokens)));
    aWriter.append(static_cast<quint64>(
      std::min<std::uint64_t>(demand.returned, kMaxTokens)));
    aWriter.append(demand.hasChangedHome);
  }
  aWriter.endArray();
  aWriter.endArray();
}

void
Append(QCborStreamWriter& aWriter, const QuotaResponse& aResponse)
{
  const std::size_t count =
    std::min(aResponse.grants.size(), QuotaQuery::kMaxDemands);
  aWriter.startArray(4);
  aWriter.append(static_cast<quint64>(kVersion));
  aWriter.append(static_cast<quint64>(kQuotaResponse));
  aWriter.append(static_cast<quint64>(aResponse.queryId));
  aWriter.startArray(count * kGrantElements);
  for (std::size_t i = 0; i < count; ++i) {
    const QuotaGrant& grant = aResponse.grants[i];
    AppendText(aWriter, grant.workspace);
    aWriter.append(static_cast<quint64>(grant.status));
    aWriter.append(
      static_cast<quint64>(std::min<std::uint64_t>(grant.granted, kMaxTokens)));
    AppendDuration(aWriter, grant.retryAfter);
    AppendDuration(aWriter, grant.emptyFor);
  }
  aWriter.endArray();
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

CatalogVersion
ReadVersion(CborInput& aInput)
{
  CatalogVersion version;
  version.generation = aInput.ReadUnsigned(kMaxCatalogGeneration);
  version.revision = aInput.ReadUnsigned(kMaxRevision);
  return version;
}

KnownVersions
ReadVersions(CborInput& aInput)
{
  KnownVersions known;
  known.configuration = ReadVersion(aInput);
  known.directory = ReadVersion(aInput);
  return known;
}

SelectionQuery
ReadQuery(CborInput& aInput)
{
  SelectionQuery query;
  query.queryId = aInput.ReadUnsigned(kMaxTicket);
  SelectionRequest& request = query.request;
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
  request.priority = static_cast<int>(aInput.ReadUnsigned(kMaxPriority));
  request.latencyObjective = ReadDuration(aInput);
  request.remaining = ReadDuration(aInput);
  request.host = aInput.ReadText(kMaxNameBytes);
  request.domain = aInput.ReadText(kMaxNameBytes);
  request.excluded = ReadServers(aInput);
  request.avoided = ReadServers(aInput);
  query.known = ReadVersions(aInput);
  return query;
}

SelectionResponse
ReadResponse(CborInput& aInput)
{
  SelectionResponse response;
  response.queryId = aInput.ReadUnsigned(kMaxTicket);
  Selection selection;
  selection.ticket = aInput.ReadUnsigned(kMaxTicket);
  selection.backendServer = aInput.ReadText(kMaxNameBytes);
  selection.hedgeAfter = ReadDuration(aInput);
  selection.hasRespondedRecently = aInput.ReadBool();
  response.result.reason = aInput.ReadText(kMaxNameBytes);
  response.result.retryAfter = ReadDuration(aInput);
  response.known = ReadVersions(aInput);
  response.isWaiting = aInput.ReadBool();
  if (!selection.backendServer.empty()) {
    response.result.selection = std::move(selection);
  }
  return response;
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

HostAnnouncement
ReadAnnouncement(CborInput& aInput)
{
  HostAnnouncement announcement;
  announcement.host = aInput.ReadText(kMaxNameBytes);
  announcement.domain = aInput.ReadText(kMaxNameBytes);
  announcement.processorCores =
    static_cast<double>(aInput.ReadUnsigned(kMaxMillicores)) / kMillicores;
  announcement.isResponseWanted = aInput.ReadBool();
  return announcement;
}

WatcherHeartbeat
ReadHeartbeat(CborInput& aInput)
{
  WatcherHeartbeat heartbeat;
  heartbeat.host = aInput.ReadText(kMaxNameBytes);
  heartbeat.isCatalogReachable = aInput.ReadBool();
  heartbeat.known = ReadVersions(aInput);
  heartbeat.readUpTo = ReadVersions(aInput);
  heartbeat.historyBegin = ReadVersions(aInput);
  heartbeat.catalogAge = ReadDuration(aInput);
  heartbeat.configurationAge = ReadDuration(aInput);
  heartbeat.snapshotPort =
    static_cast<std::uint16_t>(aInput.ReadUnsigned(0xFFFF));
  return heartbeat;
}

QuotaQuery
ReadQuotaQuery(CborInput& aInput)
{
  QuotaQuery query;
  query.queryId = aInput.ReadUnsigned(kMaxTicket);
  query.host = aInput.ReadText(kMaxNameBytes);
  query.domain = aInput.ReadText(kMaxNameBytes);
  query.missedHome = aInput.ReadText(kMaxNameBytes);
  const std::size_t count =
    aInput.EnterArray(QuotaQuery::kMaxDemands * kDemandElements) /
    kDemandElements;
  for (std::size_t i = 0; i < count && !aInput.HasFailed(); ++i) {
    QuotaDemand demand;
    demand.workspace = aInput.ReadText(kMaxNameBytes);
    demand.wanted = static_cast<std::uint32_t>(aInput.ReadUnsigned(kMaxTokens));
    demand.returned =
      static_cast<std::uint32_t>(aInput.ReadUnsigned(kMaxTokens));
    demand.hasChangedHome = aInput.ReadBool();
    query.demands.push_back(std::move(demand));
  }
  aInput.LeaveArray();
  return query;
}

QuotaResponse
ReadQuotaResponse(CborInput& aInput)
{
  QuotaResponse response;
  response.queryId = aInput.ReadUnsigned(kMaxTicket);
  const std::size_t count =
    aInput.EnterArray(QuotaQuery::kMaxDemands * kGrantElements) /
    kGrantElements;
  for (std::size_t i = 0; i < count && !aInput.HasFailed(); ++i) {
    QuotaGrant grant;
    grant.workspace = aInput.ReadText(kMaxNameBytes);
    grant.status = static_cast<QuotaStatus>(aInput.ReadUnsigned(
      static_cast<std::uint64_t>(QuotaStatus::UnknownWorkspace)));
    grant.granted = static_cast<std::uint32_t>(aInput.ReadUnsigned(kMaxTokens));
    grant.retryAfter = ReadDuration(aInput);
    grant.emptyFor = ReadDuration(aInput);
    response.grants.push_back(std::move(grant));
  }
  aInput.LeaveArray();
  return response;
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
  switch (input.ReadUnsigned(kMaxKind)) {
    case kQuery:
      message = ReadQuery(input);
      break;
    case kResponse:
      message = ReadResponse(input);
      break;
    case kReport:
      message = ReadReport(input);
      break;
    case kAnnouncement:
      message = ReadAnnouncement(input);
      break;
    case kHeartbeat:
      message = ReadHeartbeat(input);
      break;
    case kCancellation:
      message = SelectionCancellation{ input.ReadUnsigned(kMaxTicket) };
      break;
    case kQuotaQuery:
      message = ReadQuotaQuery(input);
      break;
    case kQuotaResponse:
      message = ReadQuotaResponse(input);
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
