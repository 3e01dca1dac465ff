#pragma once

#include "http/HttpClient.h"

#include <functional>
#include <optional>
#include <string>

namespace filbertbeam::testing {

// Records the events of one client exchange.
class RecordingObserver final : public HttpResponseObserver
{
public:
  void OnRequestSent() override
  {
    ++events;
    ++requestsSent;
    if (onSent) {
      onSent();
    }
  }
  void OnRequestWritable() override
  {
    ++events;
    if (onWritable) {
      onWritable();
    }
  }
  void OnResponseHead(const HttpResponseHead& aHead) override
  {
    ++events;
    head = aHead;
    if (onHead) {
      onHead();
    }
  }
  void OnResponseBody(ByteView aBytes) override
  {
    ++events;
    bodyBytes += aBytes.size();
    if (keepsBody) {
      body.append(aBytes.data(), aBytes.size());
    }
    if (onBody) {
      onBody(aBytes);
    }
  }
  void OnResponseEnd() override
  {
    ++events;
    ++ends;
    if (onOver) {
      onOver();
    }
  }
  void OnExchangeFailed(const HttpFailure& aFailure) override
  {
    ++events;
    ++failures;
    failure = aFailure;
    if (onOver) {
      onOver();
    }
  }

  bool IsOver() const { return ends + failures > 0; }

  int events = 0;
  int requestsSent = 0;
  int ends = 0;
  int failures = 0;
  std::optional<HttpResponseHead> head;
  std::optional<HttpFailure> failure;
  std::string body;
  std::uint64_t bodyBytes = 0;
  bool keepsBody = true;
  std::function<void()> onSent;
  std::function<void()> onWritable;
  std::function<void()> onHead;
  std::function<void(ByteView)> onBody;
  std::function<void()> onOver;
};

} // namespace filbertbeam::testing
