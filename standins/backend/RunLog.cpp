#include "standins/backend/RunLog.h"

#include "http/HttpFields.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace filbertbeam {

namespace {

QJsonObject
ToObject(const std::map<std::string, int>& aCounts)
{
  QJsonObject object;
  for (const auto& [name, count] : aCounts) {
    object.insert(QString::fromStdString(name), count);
  }
  return object;
}

} // namespace

void
RunLog::AddRun(const HttpFields& aFields)
{
  ++runs_;
  if (const auto id = aFields.Find("X-Request-Id")) {
    ++requests_[std::string(*id)];
  }
  if (const auto key = aFields.Find("Idempotency-Key")) {
    ++keys_[std::string(*key)];
  }
}

std::string
RunLog::ToJson() const
{
  const QJsonObject object{
    { "runs", static_cast<qint64>(runs_) },
    { "sheds", static_cast<qint64>(sheds_) },
    { "cancellations", static_cast<qint64>(cancellations_) },
    { "requests", ToObject(requests_) },
    { "keys", ToObject(keys_) },
  };
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace filbertbeam
