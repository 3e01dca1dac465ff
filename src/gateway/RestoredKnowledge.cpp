#include "gateway/RestoredKnowledge.h"

#include "base/Log.h"
#include "gateway/PeerRequest.h"
#include "gateway/PeerSnapshot.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A live peer responds in a few milliseconds; a host that starts must not wait
// much longer for peers that are gone.
constexpr milliseconds kDeadline{ 1'000 };

constexpr int kOk = 200;

constexpr const char* kConfiguration = "configuration";
constexpr const char* kRemaining = "remaining_ms";
constexpr const char* kDepartures = "departures";
constexpr const char* kServer = "server";
constexpr const char* kStartedAt = "started_at";
constexpr const char* kNumber = "write";
constexpr const char* kVersion = "version";

QJsonObject
DepartureToJson(const KnownDeparture& aDeparture)
{
  return { { kServer, QString::fromStdString(aDeparture.server) },
           { kStartedAt, static_cast<qint64>(aDeparture.write.startedAt) },
           { kNumber, static_cast<qint64>(aDeparture.write.number) },
           { kVersion,
             QString::fromStdString(
               FormatCatalogVersion(aDeparture.write.version)) } };
}

KnownDeparture
DepartureFromJson(const QJsonObject& aObject)
{
  return { aObject[kServer].toString().toStdString(),
           { aObject[kStartedAt].toInteger(),
             static_cast<std::uint64_t>(
               std::max<qint64>(aObject[kNumber].toInteger(), 0)),
             ParseCatalogVersion(
               aObject[kVersion].toString().toStdString()) } };
}

} // namespace

std::string
EncodeRestoredKnowledge(const RestoredKnowledge& aKnowledge)
{
  QJsonArray departures;
  for (const KnownDeparture& departure : aKnowledge.departures) {
    departures.append(DepartureToJson(departure));
  }
  QJsonObject json{ { kRemaining,
                      static_cast<qint64>(aKnowledge.remaining.count()) },
                    { kDepartures, departures } };
  if (aKnowledge.configuration) {
    json[kConfiguration] = CatalogObjectToJson(*aKnowledge.configuration);
  }
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<RestoredKnowledge>
DecodeRestoredKnowledge(std::string_view aText)
{
  const QJsonObject json =
    QJsonDocument::fromJson(
      QByteArray(aText.data(), static_cast<qsizetype>(aText.size())))
      .object();
  if (!json[kDepartures].isArray()) {
    return std::nullopt;
  }
  RestoredKnowledge knowledge;
  knowledge.remaining =
    std::clamp<milliseconds>(milliseconds(json[kRemaining].toInteger()),
                             milliseconds(0),
                             kDepartureRetention);
  for (const QJsonValue item : json[kDepartures].toArray()) {
    knowledge.departures.push_back(DepartureFromJson(item.toObject()));
  }
  if (json[kConfiguration].isObject()) {
    knowledge.configuration =
      CatalogObjectFromJson(json[kConfiguration].toObject());
  }
  return knowledge;
}

RestoredKnowledgeClient::RestoredKnowledgeClient(
  const std::vector<Endpoint>& aPeers,
  Handler aOnResult)
  : peers_(aPeers.size())
  , onResult_(std::move(aOnResult))
  , client_(aPeers, PeerClientLimits())
{
  deadline_.setSingleShot(true);
  deadline_.callOnTimeout([this] { Finish(std::nullopt); });
}

void
RestoredKnowledgeClient::Start()
{
  if (peers_ == 0) {
    Finish(std::nullopt);
    return;
  }
  deadline_.start(kDeadline);
  Request();
}

void
RestoredKnowledgeClient::Request()
{
  ++requests_;
  GetFromPeer(client_,
              std::string(kRestoredKnowledgePath),
              [this](const PlatformReply& aReply) { OnReply(aReply); });
}

void
RestoredKnowledgeClient::OnReply(const PlatformReply& aReply)
{
  if (isDone_) {
    return;
  }
  auto knowledge = aReply.status == kOk ? DecodeRestoredKnowledge(aReply.body)
                                        : std::optional<RestoredKnowledge>();
  if (knowledge || requests_ >= peers_) {
    Finish(std::move(knowledge));
    return;
  }
  // The client uses the next peer after a failure.
  Request();
}

void
RestoredKnowledgeClient::Finish(std::optional<RestoredKnowledge> aKnowledge)
{
  isDone_ = true;
  deadline_.stop();
  if (!aKnowledge) {
    LogEvent(LogLevel::Info,
             "started_without_peers",
             { { "peers", peers_ }, { "requests", requests_ } });
  }
  onResult_(std::move(aKnowledge));
}

} // namespace filbertbeam
