#include "http/ProblemDetails.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <boost/beast/http/status.hpp>

#include <fmt/format.h>

namespace filbertbeam {

HttpResponseHead
ProblemHead(const ProblemDetails& aProblem)
{
  HttpResponseHead head;
  head.status = aProblem.status;
  head.reason = std::string(boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(static_cast<unsigned>(aProblem.status))));
  head.fields.Set("Content-Type", "application/problem+json");
  if (aProblem.retryAfter) {
    head.fields.Set("Retry-After",
                    fmt::format("{}", aProblem.retryAfter->count()));
  }
  return head;
}

std::string
ProblemBody(const ProblemDetails& aProblem)
{
  QJsonObject object;
  object["type"] = "about:blank";
  object["title"] = QString::fromStdString(aProblem.title);
  object["status"] = aProblem.status;
  object["outcome"] = QString::fromStdString(aProblem.outcome);
  if (!aProblem.detail.empty()) {
    object["detail"] = QString::fromStdString(aProblem.detail);
  }
  if (!aProblem.requestId.empty()) {
    object["request_id"] = QString::fromStdString(aProblem.requestId);
  }
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace filbertbeam
