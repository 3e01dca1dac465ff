#include "store/PlatformClient.h"

#include "base/Log.h"

#include <QHostAddress>
#include <QTimer>

#include <utility>

namespace filbertbeam {

namespace {

HttpClientLimits
ClientLimits(const PlatformClientLimits& aLimits)
{
  HttpClientLimits limits;
  limits.idleConnections = aLimits.idleConnections;
  limits.unresponsivePeerTimeout = aLimits.unresponsivePeerTimeout;
  return limits;
}

// Returns whether the endpoint itself failed, so that another may succeed.
bool
IsEndpointFailure(int aStatus)
{
  return aStatus == 0 || aStatus >= 500;
}

} // namespace

class PlatformClient::PendingCall final : public HttpResponseObserver
{
public:
  PendingCall(std::size_t aResponseBytes, Callback aCallback)
    : responseBytes_(aResponseBytes)
    , callback_(std::move(aCallback))
    , timer_(new QTimer)
  {
    timer_->setSingleShot(true);
    // The default timer type may fire 5% early.
    timer_->setTimerType(Qt::PreciseTimer);
    QObject::connect(timer_, &QTimer::timeout, timer_, [this] {
      Abort("no complete response in time");
    });
  }

  ~PendingCall() override
  {
    // The destructor may run within a signal of the timer.
    timer_->stop();
    timer_->deleteLater();
  }

  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

  void Start(std::shared_ptr<HttpClientExchange> aExchange,
             std::string_view aBody,
             std::chrono::milliseconds aTimeout)
  {
    exchange_ = std::move(aExchange);
    if (!aBody.empty()) {
      exchange_->SendBody({ aBody.data(), aBody.size() });
    }
    exchange_->FinishBody();
    timer_->start(aTimeout);
  }

  // Cancels the call; its callback won't run.
  void Cancel()
  {
    timer_->stop();
    callback_ = {};
    if (const auto exchange = std::exchange(exchange_, {})) {
      exchange->Cancel();
    }
  }

  void OnRequestSent() override {}
  void OnRequestWritable() override {}

  void OnResponseHead(const HttpResponseHead& aHead) override
  {
    reply_.status = aHead.status;
    reply_.fields = aHead.fields;
    // The end of such a body can't be distinguished from a broken connection.
    if (aHead.framing == BodyFraming::UntilClose) {
      Abort("the response has no length");
    }
  }

  void OnResponseBody(ByteView aBytes) override
  {
    if (!callback_) {
      return;
    }
    if (reply_.body.size() + aBytes.size() > responseBytes_) {
      isTooLarge_ = true;
      Abort("the response is too large");
      return;
    }
    reply_.body.append(aBytes.data(), aBytes.size());
  }

  void OnResponseEnd() override { Finish(); }

  void OnExchangeFailed(const HttpFailure& aFailure) override
  {
    Fail(aFailure.reason, !aFailure.anyByteSent);
  }

private:
  void Abort(std::string_view aReason)
  {
    const auto exchange = exchange_;
    const bool isUnsent = exchange && !exchange->AnyByteSent();
    Fail(aReason, isUnsent);
    if (exchange) {
      exchange->Cancel();
    }
  }

  void Fail(std::string_view aReason, bool aIsUnsent)
  {
    reply_ = {};
    reply_.reason = aReason;
    reply_.isUnsent = aIsUnsent;
    reply_.isTooLarge = isTooLarge_;
    Finish();
  }

  void Finish()
  {
    timer_->stop();
    exchange_.reset();
    if (const Callback callback = std::exchange(callback_, {})) {
      callback(reply_);
    }
  }

  std::size_t responseBytes_;
  bool isTooLarge_ = false;
  Callback callback_;
  std::shared_ptr<HttpClientExchange> exchange_;
  PlatformReply reply_;
  QTimer* timer_;
};

std::unique_ptr<PlatformClient>
PlatformClient::Create(std::vector<Endpoint> aEndpoints,
                       const PlatformClientLimits& aLimits,
                       std::string& aReason)
{
  if (aEndpoints.empty()) {
    aReason = "no platform endpoint is configured";
    return nullptr;
  }
  for (const Endpoint& endpoint : aEndpoints) {
    if (QHostAddress(QString::fromStdString(endpoint.address)).isNull() ||
        endpoint.port == 0) {
      aReason = fmt::format(
        "not an IP address and port: {}:{}", endpoint.address, endpoint.port);
      return nullptr;
    }
  }
  return std::make_unique<PlatformClient>(std::move(aEndpoints), aLimits);
}

PlatformClient::PlatformClient(std::vector<Endpoint> aEndpoints,
                               const PlatformClientLimits& aLimits)
  : endpoints_(std::move(aEndpoints))
  , limits_(aLimits)
  , client_(HttpClient::Create(ClientLimits(aLimits)))
{
}

PlatformClient::~PlatformClient()
{
  const auto calls = std::exchange(calls_, {});
  for (const auto& [number, call] : calls) {
    call->Cancel();
  }
}

void
PlatformClient::SetEndpoints(std::vector<Endpoint> aEndpoints)
{
  endpoints_ = std::move(aEndpoints);
  currentEndpoint_ = 0;
}

void
PlatformClient::Call(HttpRequestHead aHead,
                     std::string_view aBody,
                     std::chrono::milliseconds aExtraTime,
                     Callback aCallback)
{
  aHead.framing = aBody.empty() && aHead.method == "GET" ? BodyFraming::None
                                                         : BodyFraming::Length;
  aHead.contentLength = aBody.size();
  const std::uint64_t number = nextCall_++;
  const std::size_t endpoint = currentEndpoint_;
  const auto call = std::make_shared<PendingCall>(
    limits_.responseBytes,
    [this, number, endpoint, callback = std::move(aCallback)](
      const PlatformReply& aReply) {
      // Calls that fail at the same endpoint advance to the next one only once.
      if (IsEndpointFailure(aReply.status) && endpoint == currentEndpoint_ &&
          endpoints_.size() > 1) {
        currentEndpoint_ = (currentEndpoint_ + 1) % endpoints_.size();
        LogEvent(LogLevel::Warning,
                 "platform_endpoint_changed",
                 { { "address", endpoints_[currentEndpoint_].address },
                   { "port", endpoints_[currentEndpoint_].port },
                   { "status", aReply.status },
                   { "reason", aReply.reason } });
      }
      OnFinished(number, callback, aReply);
    });
  calls_.emplace(number, call);
  HttpClientOptions options;
  options.connectTimeout = limits_.connectTimeout;
  call->Start(client_->Start(endpoints_[endpoint], aHead, options, call),
              aBody,
              limits_.callTimeout + aExtraTime);
}

void
PlatformClient::OnFinished(std::uint64_t aCall,
                           const Callback& aCallback,
                           const PlatformReply& aReply)
{
  // Keeps the call alive until its callback, which it invokes, has returned.
  const auto call = calls_.extract(aCall);
  aCallback(aReply);
}

} // namespace filbertbeam
