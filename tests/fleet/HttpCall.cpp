#include "HttpCall.h"

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <QThread>

#include <algorithm>
#include <utility>

namespace filbertbeam::testing {

std::shared_ptr<HttpCall>
HttpCall::Start(HttpClient& aClient,
                const Endpoint& aServer,
                HttpRequestHead aHead,
                std::string_view aBody,
                bool aIsConnectionReused)
{
  auto call = std::make_shared<HttpCall>();
  if (!aBody.empty()) {
    aHead.framing = BodyFraming::Length;
    aHead.contentLength = aBody.size();
  }
  HttpClientOptions options;
  options.freshConnection = !aIsConnectionReused;
  call->timer_.start();
  call->exchange_ = aClient.Start(aServer, aHead, options, call);
  if (!aBody.empty()) {
    call->exchange_->SendBody(aBody);
  }
  call->exchange_->FinishBody();
  return call;
}

std::string
HttpCall::Field(std::string_view aName) const
{
  return head_ ? std::string(head_->fields.Find(aName).value_or(""))
               : std::string();
}

std::string
HttpCall::Outcome() const
{
  return QJsonDocument::fromJson(QByteArray::fromStdString(body_))
    .object()["outcome"]
    .toString()
    .toStdString();
}

std::string
HttpCall::Title() const
{
  return QJsonDocument::fromJson(QByteArray::fromStdString(body_))
    .object()["title"]
    .toString()
    .toStdString();
}

void
HttpCall::Cancel()
{
  if (exchange_) {
    exchange_->Cancel();
  }
}

void
HttpCall::OnResponseHead(const HttpResponseHead& aHead)
{
  head_ = aHead;
}

void
HttpCall::OnResponseBody(ByteView aBytes)
{
  body_.append(aBytes.data(), aBytes.size());
}

void
HttpCall::OnResponseEnd()
{
  isComplete_ = true;
  Stop();
}

void
HttpCall::OnExchangeFailed(const HttpFailure& aFailure)
{
  failure_ = aFailure;
  Stop();
}

void
HttpCall::Stop()
{
  constexpr double kNanosecondsPerMillisecond = 1e6;
  milliseconds_ =
    static_cast<double>(timer_.nsecsElapsed()) / kNanosecondsPerMillisecond;
  exchange_.reset();
}

bool
WaitForAll(const Calls& aCalls, std::chrono::milliseconds aTimeout)
{
  QElapsedTimer timer;
  timer.start();
  const auto isDone = [](const std::shared_ptr<HttpCall>& aCall) {
    return aCall->IsDone();
  };
  while (!std::ranges::all_of(aCalls, isDone)) {
    if (timer.elapsed() > aTimeout.count()) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
    QThread::usleep(200);
  }
  return true;
}

void
RunFor(std::chrono::milliseconds aTime)
{
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < aTime.count()) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    QThread::usleep(500);
  }
}

} // namespace filbertbeam::testing
