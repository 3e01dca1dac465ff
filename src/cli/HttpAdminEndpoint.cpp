#include "cli/HttpAdminEndpoint.h"

#include <QEventLoop>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <chrono>
#include <memory>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::chrono::milliseconds kTransferTimeout{ 5'000 };
// The status of 1,300 hosts and 11,000 backend servers takes about 4 MB.
constexpr qint64 kMaxResponseBytes = 64LL * 1024 * 1024;

} // namespace

HttpAdminEndpoint::HttpAdminEndpoint(std::vector<std::string> aAddresses,
                                     std::string aOperatorToken)
  : addresses_(std::move(aAddresses))
  , operatorToken_(std::move(aOperatorToken))
{
  // The operator token must not be sent to a proxy that the environment
  // configures.
  manager_.setProxy(QNetworkProxy::NoProxy);
}

AdminEndpoint::Response
HttpAdminEndpoint::Get(const std::string& aTarget)
{
  Response response{ 0, {}, "no address of a daemon is given" };
  for (const std::string& address : addresses_) {
    response = GetFrom(address, aTarget);
    if (response.status != 0) {
      break;
    }
  }
  return response;
}

AdminEndpoint::Response
HttpAdminEndpoint::GetFrom(const std::string& aAddress,
                           const std::string& aTarget)
{
  const QUrl url(QString::fromStdString("http://" + aAddress + aTarget),
                 QUrl::StrictMode);
  if (!url.isValid()) {
    return { 0, {}, aAddress + " is not IP:PORT" };
  }
  QNetworkRequest request(url);
  request.setRawHeader("Authorization",
                       "Bearer " + QByteArray::fromStdString(operatorToken_));
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setTransferTimeout(static_cast<int>(kTransferTimeout.count()));
  const std::unique_ptr<QNetworkReply> reply(manager_.get(request));
  QEventLoop loop;
  QObject::connect(
    reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
  QObject::connect(reply.get(),
                   &QNetworkReply::downloadProgress,
                   &loop,
                   [&reply](qint64 aReceived, qint64) {
                     if (aReceived > kMaxResponseBytes) {
                       reply->abort();
                     }
                   });
  if (!reply->isFinished()) {
    loop.exec();
  }
  const int status =
    reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  // A truncated response has a status, but counts as a failure.
  const bool isWhole =
    reply->error() == QNetworkReply::NoError || (status >= 400 && status < 600);
  if (status == 0 || !isWhole) {
    return { 0, {}, aAddress + ": " + reply->errorString().toStdString() };
  }
  return { status, reply->readAll(), {} };
}

} // namespace filbertbeam
