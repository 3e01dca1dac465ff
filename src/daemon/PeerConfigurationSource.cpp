#include "daemon/PeerConfigurationSource.h"

#include "daemon/ConfigurationResource.h"

#include <fmt/format.h>

#include <utility>

namespace filbertbeam {

namespace {

// Parts are at most 1 MB.
constexpr std::size_t kMaxResponseBytes = 2 * 1024 * 1024;

class FetchObserver final : public HttpResponseObserver
{
public:
  FetchObserver(std::weak_ptr<int> aAlive,
                ConfigurationSource::Callback aCallback)
    : alive_(std::move(aAlive))
    , callback_(std::move(aCallback))
  {
  }

  void OnRequestSent() override {}
  void OnRequestWritable() override {}
  void OnResponseHead(const HttpResponseHead& aHead) override
  {
    status_ = aHead.status;
  }
  void OnResponseBody(ByteView aBytes) override
  {
    // Bytes beyond the limit are discarded; the response then fails
    // verification.
    if (text_.size() + aBytes.size() <= kMaxResponseBytes) {
      text_.append(aBytes.data(), aBytes.size());
    }
  }
  void OnResponseEnd() override
  {
    constexpr int kOk = 200;
    if (status_ != kOk) {
      Complete({ std::nullopt, fmt::format("status {}", status_) });
      return;
    }
    Complete({ std::move(text_), {} });
  }
  void OnExchangeFailed(const HttpFailure& aFailure) override
  {
    Complete({ std::nullopt, aFailure.reason });
  }

private:
  void Complete(const ConfigurationSource::Response& aResponse)
  {
    if (!alive_.expired()) {
      callback_(aResponse);
    }
  }

  std::weak_ptr<int> alive_;
  ConfigurationSource::Callback callback_;
  int status_ = 0;
  std::string text_;
};

} // namespace

PeerConfigurationSource::PeerConfigurationSource(
  const Member& aPeer,
  HttpClient& aClient,
  RelayRequestSigner& aRequestSigner)
  : peer_(aPeer)
  , client_(aClient)
  , requestSigner_(aRequestSigner)
{
}

void
PeerConfigurationSource::FetchHead(Callback aCallback)
{
  Fetch(std::string(kConfigurationHeadTarget), std::move(aCallback));
}

void
PeerConfigurationSource::FetchPart(std::string_view aSha256, Callback aCallback)
{
  Fetch(std::string(kConfigurationPartPrefix) + std::string(aSha256),
        std::move(aCallback));
}

void
PeerConfigurationSource::Fetch(std::string aTarget, Callback aCallback)
{
  HttpRequestHead head;
  head.method = "GET";
  head.target = std::move(aTarget);
  requestSigner_.Sign(head, peer_);
  const auto exchange = client_.Start(
    peer_.relay,
    head,
    HttpClientOptions{},
    std::make_shared<FetchObserver>(alive_, std::move(aCallback)));
  exchange->FinishBody();
}

} // namespace filbertbeam
