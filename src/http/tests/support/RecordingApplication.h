#pragma once

#include "http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertbeam::testing {

// Records the events of one request; the test controls the response.
class RecordingSession final : public HttpRequestObserver
{
public:
  explicit RecordingSession(std::shared_ptr<HttpServerExchange> aExchange)
    : exchange(std::move(aExchange))
    , head(exchange->Request())
  {
  }

  void OnRequestBody(ByteView aBytes) override
  {
    bodyBytes += aBytes.size();
    if (keepsBody) {
      body.append(aBytes.data(), aBytes.size());
    }
    if (onBody) {
      onBody(*this);
    }
  }
  void OnRequestEnd() override
  {
    ++ends;
    if (onEnd) {
      onEnd(*this);
    }
  }
  void OnRequestFailed(const RequestFailure& aFailure) override
  {
    ++failures;
    if (onFailed) {
      onFailed(*this, aFailure);
    }
  }
  void OnResponseWritable() override
  {
    if (onWritable) {
      onWritable(*this);
    }
  }
  void OnRequestClosed(bool aIsComplete) override
  {
    ++closes;
    isComplete = aIsComplete;
  }

  void Respond(std::string_view aBody, int aStatus = 200)
  {
    HttpResponseHead response;
    response.status = aStatus;
    SendWholeResponse(*exchange, response, aBody);
  }

  std::shared_ptr<HttpServerExchange> exchange;
  HttpRequestHead head;
  std::string body;
  std::uint64_t bodyBytes = 0;
  bool keepsBody = true;
  int ends = 0;
  int failures = 0;
  int closes = 0;
  bool isComplete = false;
  std::function<void(RecordingSession&)> onBody;
  std::function<void(RecordingSession&)> onEnd;
  std::function<void(RecordingSession&, const RequestFailure&)> onFailed;
  std::function<void(RecordingSession&)> onWritable;
};

// By default, responds to each request with its target and body.
class RecordingApplication final : public HttpApplication
{
public:
  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override
  {
    auto session = std::make_shared<RecordingSession>(std::move(aExchange));
    session->onEnd = onEnd;
    sessions.push_back(session);
    if (onRequest) {
      onRequest(*session);
    }
    return session;
  }

  bool MayRunConcurrently(const HttpRequestHead& aHead) override
  {
    return aHead.target.starts_with("/concurrent");
  }
  bool MayAbortResponse(const HttpRequestHead& aHead) override
  {
    return aHead.target.ends_with("/large");
  }

  std::function<void(RecordingSession&)> onRequest;
  std::function<void(RecordingSession&)> onEnd =
    [](RecordingSession& aSession) {
      aSession.Respond(aSession.head.target + aSession.body);
    };
  std::vector<std::shared_ptr<RecordingSession>> sessions;
};

// A server on a free port with a RecordingApplication.
struct ServerFixture
{
  explicit ServerFixture(const HttpServerLimits& aLimits = {})
    : server(
        HttpServer::Create({ "127.0.0.1", 0 }, aLimits, application, reason))
  {
  }

  RecordingApplication application;
  std::string reason;
  std::unique_ptr<HttpServer> server;
};

} // namespace filbertbeam::testing
