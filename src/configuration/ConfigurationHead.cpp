#include "configuration/ConfigurationHead.h"

#include "base/Digest.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cmath>
#include <limits>

namespace filbertbeam {

namespace {

// JSON numbers are doubles, which hold whole numbers up to 2^53.
constexpr double kMaxWholeNumber = 9'007'199'254'740'992.0;
constexpr qsizetype kSha256Digits = 64;

QString
ToQt(const std::string& aText)
{
  return QString::fromStdString(aText);
}

QJsonObject
ToJson(const ConfigurationAcceptance& aAcceptance)
{
  const auto acceptedAt = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAcceptance.acceptedAt.time_since_epoch());
  return QJsonObject{ { "revision", static_cast<double>(aAcceptance.revision) },
                      { "nonce", ToQt(aAcceptance.nonce) },
                      { "author", ToQt(aAcceptance.author) },
                      { "accepted_at_ms",
                        static_cast<double>(acceptedAt.count()) } };
}

std::string
ChecksumOf(const QJsonObject& aObject)
{
  return Sha256Hex(
    QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString());
}

std::optional<std::uint64_t>
ToWholeNumber(const QJsonValue& aValue)
{
  const double number = aValue.toDouble(-1);
  if (!(number >= 0 && number <= kMaxWholeNumber) ||
      number != std::floor(number)) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(number);
}

std::optional<ConfigurationAcceptance>
ToAcceptance(const QJsonObject& aObject)
{
  const std::optional<std::uint64_t> revision =
    ToWholeNumber(aObject["revision"]);
  const std::optional<std::uint64_t> acceptedAt =
    ToWholeNumber(aObject["accepted_at_ms"]);
  constexpr std::uint64_t kMaxMilliseconds = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      WallTime::duration::max())
      .count());
  if (!revision || *revision == 0 || !acceptedAt ||
      *acceptedAt > kMaxMilliseconds || !aObject["nonce"].isString() ||
      !aObject["author"].isString()) {
    return std::nullopt;
  }
  return ConfigurationAcceptance{ *revision,
                                  aObject["nonce"].toString().toStdString(),
                                  aObject["author"].toString().toStdString(),
                                  WallTime(
                                    std::chrono::milliseconds(*acceptedAt)) };
}

bool
IsSha256(const QString& aText)
{
  if (aText.size() != kSha256Digits) {
    return false;
  }
  for (const QChar digit : aText) {
    if (!((digit >= u'0' && digit <= u'9') ||
          (digit >= u'a' && digit <= u'f'))) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string
ConfigurationHead::Format() const
{
  QJsonObject object = ToJson(acceptance);
  QJsonArray partArray;
  for (const ConfigurationPartReference& part : parts) {
    partArray.append(
      QJsonArray{ ToQt(part.sha256), static_cast<double>(part.bytes) });
  }
  object["parts"] = partArray;
  QJsonArray historyArray;
  for (const ConfigurationAcceptance& earlier : history) {
    historyArray.append(ToJson(earlier));
  }
  object["history"] = historyArray;
  // A host never goes back to a smaller revision. If damage in transit
  // increased the revision, the host would reject every later configuration.
  object["checksum"] = ToQt(ChecksumOf(object));
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<ConfigurationHead>
ConfigurationHead::Parse(std::string_view aText, std::string& aReason)
{
  QJsonObject object = QJsonDocument::fromJson(
                         QByteArray::fromRawData(
                           aText.data(), static_cast<qsizetype>(aText.size())))
                         .object();
  if (object.isEmpty()) {
    aReason = "the head is not a JSON object";
    return std::nullopt;
  }
  const std::string checksum = object.take("checksum").toString().toStdString();
  if (checksum != ChecksumOf(object)) {
    aReason = "the checksum of the head does not match";
    return std::nullopt;
  }
  ConfigurationHead head;
  const auto acceptance = ToAcceptance(object);
  if (!acceptance || !object["parts"].isArray()) {
    aReason = "the head lacks a field";
    return std::nullopt;
  }
  head.acceptance = *acceptance;
  for (const QJsonValue part : object["parts"].toArray()) {
    const QJsonArray pair = part.toArray();
    const QString sha256 = pair.at(0).toString();
    const std::optional<std::uint64_t> bytes = ToWholeNumber(pair.at(1));
    if (!IsSha256(sha256) || !bytes) {
      aReason = "the head has an invalid part reference";
      return std::nullopt;
    }
    head.parts.push_back({ sha256.toStdString(), *bytes });
  }
  for (const QJsonValue earlier : object["history"].toArray()) {
    const auto earlierAcceptance = ToAcceptance(earlier.toObject());
    if (!earlierAcceptance) {
      aReason = "the head has an invalid history";
      return std::nullopt;
    }
    head.history.push_back(*earlierAcceptance);
  }
  return head;
}

} // namespace filbertbeam
