#include "gateway/PeerData.h"

#include <QByteArray>
#include <QUrlQuery>
#include <QtEndian>

#include <algorithm>

namespace filbertbeam {

namespace {

constexpr const char* kPacked = "packed";
// The texts repeat themselves, so little effort makes them several times
// shorter.
constexpr int kCompressionLevel = 1;
// More than a snapshot of the largest deployment; bounds the memory that a
// damaged response can claim.
constexpr std::size_t kMaxText = 16 * 1024 * 1024;
// Followers of one watcher differ in few versions.
constexpr std::size_t kMaxResponses = 8;

QByteArray
ViewBytes(std::string_view aBytes)
{
  return QByteArray::fromRawData(aBytes.data(),
                                 static_cast<qsizetype>(aBytes.size()));
}

} // namespace

std::string
PackedTarget(std::string_view aTarget)
{
  const char separator =
    aTarget.find('?') == std::string_view::npos ? '?' : '&';
  return std::string(aTarget) + separator + kPacked + "=1";
}

bool
AcceptsPackedData(std::string_view aTarget)
{
  const auto begin = aTarget.find('?');
  if (begin == std::string_view::npos) {
    return false;
  }
  const QUrlQuery query(
    QString::fromStdString(std::string(aTarget.substr(begin + 1))));
  return query.queryItemValue(kPacked) == "1";
}

std::string
PackPeerData(std::string_view aText)
{
  return qCompress(ViewBytes(aText), kCompressionLevel).toStdString();
}

std::optional<std::string>
UnpackPeerData(std::string_view aBytes)
{
  // A response that is not compressed is a JSON object. A compressed one begins
  // with the length of its text, in big-endian order, which is never so large.
  if (aBytes.starts_with('{')) {
    return std::string(aBytes);
  }
  if (aBytes.size() < sizeof(quint32) ||
      qFromBigEndian<quint32>(aBytes.data()) > kMaxText) {
    return std::nullopt;
  }
  const QByteArray text = qUncompress(ViewBytes(aBytes));
  if (text.isEmpty()) {
    return std::nullopt;
  }
  return text.toStdString();
}

const std::string&
PeerResponseCache::Get(const std::string& aVersion,
                       std::string_view aTarget,
                       const std::function<std::string()>& aEncode)
{
  if (version_ != aVersion) {
    version_ = aVersion;
    responses_.clear();
  }
  const auto known = std::ranges::find(responses_, aTarget, &Response::target);
  if (known != responses_.end()) {
    return known->body;
  }
  if (responses_.size() >= kMaxResponses) {
    responses_.erase(responses_.begin());
  }
  responses_.push_back({ std::string(aTarget), aEncode() });
  return responses_.back().body;
}

} // namespace filbertbeam
