#include "limits/ShareMessages.h"

#include <QCborArray>
#include <QCborValue>

#include <cmath>

namespace filbertbeam {

namespace {

template<typename Entry>
std::string
Encode(std::span<const Entry> aEntries)
{
  QCborArray array;
  for (const Entry& entry : aEntries) {
    array.append(QCborArray{ QString::fromStdString(entry.customer),
                             entry.requestsPerSecond });
  }
  return QCborValue(array).toCbor().toStdString();
}

template<typename Entry>
std::optional<std::vector<Entry>>
Decode(std::span<const char> aPayload)
{
  QCborParserError error;
  const QCborValue value = QCborValue::fromCbor(
    QByteArray::fromRawData(aPayload.data(),
                            static_cast<qsizetype>(aPayload.size())),
    &error);
  if (error.error != QCborError::NoError || !value.isArray()) {
    return std::nullopt;
  }
  std::vector<Entry> entries;
  const QCborArray array = value.toArray();
  for (const auto& item : array) {
    const QCborArray pair = item.toArray();
    const double rate = pair.size() == 2 ? pair.at(1).toDouble(-1) : -1;
    if (!pair.at(0).isString() || !std::isfinite(rate) || rate < 0) {
      return std::nullopt;
    }
    entries.push_back(Entry{ pair.at(0).toString().toStdString(), rate });
  }
  return entries;
}

} // namespace

std::string
EncodeDemands(std::span<const CustomerDemand> aDemands)
{
  return Encode(aDemands);
}

std::optional<std::vector<CustomerDemand>>
DecodeDemands(std::span<const char> aPayload)
{
  return Decode<CustomerDemand>(aPayload);
}

std::string
EncodeShares(std::span<const ShareGrant> aShares)
{
  return Encode(aShares);
}

std::optional<std::vector<ShareGrant>>
DecodeShares(std::span<const char> aPayload)
{
  return Decode<ShareGrant>(aPayload);
}

} // namespace filbertbeam
