#pragma once

#include "http/HttpClient.h"
#include "http/HttpServerExchange.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filbertbeam::testing {

// Server exchange that records the response instead of sending it.
class FakeServerExchange final : public HttpServerExchange
{
public:
  explicit FakeServerExchange(HttpRequestHead aHead)
    : head_(std::move(aHead))
  {
  }

  const HttpRequestHead& Request() const override { return head_; }
  const Endpoint& Peer() const override { return peer_; }
  void PauseRequestBody() override { isPaused = true; }
  void ResumeRequestBody() override { isPaused = false; }
  void SendHead(const HttpResponseHead& aHead) override
  {
    ++heads;
    response = aHead;
  }
  void SendBody(ByteView aBytes) override
  {
    body.append(aBytes.data(), aBytes.size());
  }
  void Finish() override { isFinished = true; }
  void Abort() override { isAborted = true; }
  std::size_t UnsentBytes() const override { return unsentBytes; }

  int heads = 0;
  HttpResponseHead response;
  std::string body;
  bool isPaused = false;
  bool isFinished = false;
  bool isAborted = false;
  std::size_t unsentBytes = 0;

private:
  HttpRequestHead head_;
  Endpoint peer_{ "127.0.0.1", 1 };
};

// Client exchange of the code under test; the test takes the part of the
// server.
class FakeClientExchange final : public HttpClientExchange
{
public:
  FakeClientExchange(Endpoint aServer,
                     HttpRequestHead aHead,
                     HttpClientOptions aOptions,
                     std::shared_ptr<HttpResponseObserver> aObserver)
    : server(std::move(aServer))
    , head(std::move(aHead))
    , options(std::move(aOptions))
    , observer(std::move(aObserver))
  {
  }

  ConnectionUse Connection() const override { return connection; }
  bool MayHaveCarried(std::string_view) const override { return false; }
  void SendBody(ByteView aBytes) override
  {
    body.append(aBytes.data(), aBytes.size());
  }
  void FinishBody() override { isBodyFinished = true; }
  void PauseResponseBody() override { isPaused = true; }
  void ResumeResponseBody() override { isPaused = false; }
  void Cancel() override
  {
    if (onCancel) {
      onCancel();
    }
    isCancelled = true;
  }
  bool AnyByteSent() const override { return anyByteSent; }
  std::size_t UnsentBytes() const override { return unsentBytes; }

  // Delivers a complete response of the server.
  void Respond(const HttpResponseHead& aHead, std::string_view aBody = {})
  {
    anyByteSent = true;
    const auto keep = observer;
    keep->OnRequestSent();
    keep->OnResponseHead(aHead);
    if (!aBody.empty()) {
      keep->OnResponseBody(aBody);
    }
    keep->OnResponseEnd();
  }

  void Fail(HttpFailureKind aKind)
  {
    const auto keep = observer;
    keep->OnExchangeFailed({ aKind, anyByteSent, "simulated by the test" });
  }

  const Endpoint server;
  const HttpRequestHead head;
  const HttpClientOptions options;
  std::shared_ptr<HttpResponseObserver> observer;
  ConnectionUse connection{ 1, 1 };
  std::string body;
  bool isBodyFinished = false;
  bool isPaused = false;
  bool isCancelled = false;
  bool anyByteSent = false;
  std::size_t unsentBytes = 0;
  std::function<void()> onCancel;
};

class FakeHttpClient final : public HttpClient
{
public:
  FakeHttpClient() = default;
  ~FakeHttpClient() override
  {
    // As by the real client; an observer may own its exchange.
    for (const auto& exchange : exchanges) {
      exchange->observer.reset();
    }
  }
  FakeHttpClient(const FakeHttpClient&) = delete;
  FakeHttpClient& operator=(const FakeHttpClient&) = delete;

  std::shared_ptr<HttpClientExchange> Start(
    const Endpoint& aServer,
    const HttpRequestHead& aHead,
    const HttpClientOptions& aOptions,
    std::shared_ptr<HttpResponseObserver> aObserver) override
  {
    exchanges.push_back(std::make_shared<FakeClientExchange>(
      aServer, aHead, aOptions, std::move(aObserver)));
    return exchanges.back();
  }
  void CloseIdleConnections(const Endpoint& aServer) override
  {
    closedIdle.push_back(aServer);
  }
  int OpenConnections(const Endpoint&) const override { return 0; }

  FakeClientExchange& Last() { return *exchanges.back(); }

  std::vector<std::shared_ptr<FakeClientExchange>> exchanges;
  std::vector<Endpoint> closedIdle;
};

} // namespace filbertbeam::testing
