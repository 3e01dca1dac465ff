#include "daemon/AdminServer.h"

#include "base/Digest.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QUrlQuery>

#include <fmt/format.h>

namespace filbertbeam {

namespace {

using Response = QHttpServerResponse;
using Method = QHttpServerRequest::Method;

Response
TextResponse(std::string_view aText, Response::StatusCode aStatus)
{
  return Response(
    "text/plain; charset=utf-8",
    QByteArray(aText.data(), static_cast<qsizetype>(aText.size())),
    aStatus);
}

Response
Unauthorized()
{
  return Response("application/problem+json",
                  R"({"type":"about:blank","title":"operator-token-needed",)"
                  R"("status":401})",
                  Response::StatusCode::Unauthorized);
}

Response
JsonResponse(const QJsonObject& aObject)
{
  return Response("application/json",
                  QJsonDocument(aObject).toJson(QJsonDocument::Compact));
}

} // namespace

AdminServer::AdminServer(std::string_view aOperatorToken, AdminModel& aModel)
  : operatorToken_(aOperatorToken)
  , model_(aModel)
{
}

std::unique_ptr<AdminServer>
AdminServer::Create(const Endpoint& aEndpoint,
                    std::string_view aOperatorToken,
                    AdminModel& aModel,
                    std::string& aReason)
{
  std::unique_ptr<AdminServer> server(new AdminServer(aOperatorToken, aModel));
  server->AddRoutes();
  const QHostAddress address(QString::fromStdString(aEndpoint.address));
  if (server->server_.listen(address, aEndpoint.port) == 0) {
    aReason =
      fmt::format("cannot listen on {}:{}", aEndpoint.address, aEndpoint.port);
    return nullptr;
  }
  return server;
}

void
AdminServer::AddRoutes()
{
  server_.route("/healthz", Method::Get, [] {
    return TextResponse("ok\n", Response::StatusCode::Ok);
  });
  server_.route("/readyz", Method::Get, [this] {
    return model_.IsReady()
             ? TextResponse("ready\n", Response::StatusCode::Ok)
             : TextResponse("not ready\n",
                            Response::StatusCode::ServiceUnavailable);
  });
  server_.route("/metrics", Method::Get, [this] {
    return TextResponse(model_.Metrics(), Response::StatusCode::Ok);
  });
  server_.route(
    "/status", Method::Get, [this](const QHttpServerRequest& aRequest) {
      return IsOperator(aRequest) ? JsonResponse(model_.Status())
                                  : Unauthorized();
    });
  server_.route(
    "/explain", Method::Get, [this](const QHttpServerRequest& aRequest) {
      if (!IsOperator(aRequest)) {
        return Unauthorized();
      }
      const QUrlQuery query = aRequest.query();
      const auto item = [&query](const char* aName) {
        return query
          .queryItemValue(QString::fromLatin1(aName), QUrl::FullyDecoded)
          .toStdString();
      };
      return JsonResponse(model_.Explain(item("kind"), item("name")));
    });
  server_.route(
    "/burn", Method::Get, [this](const QHttpServerRequest& aRequest) {
      return IsOperator(aRequest) ? JsonResponse(model_.Burn())
                                  : Unauthorized();
    });
}

bool
AdminServer::IsOperator(const QHttpServerRequest& aRequest) const
{
  const std::string given = aRequest.value("Authorization").toStdString();
  return ConstantTimeEquals(given, "Bearer " + operatorToken_);
}

} // namespace filbertbeam
