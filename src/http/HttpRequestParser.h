#pragma once

#include "http/HttpHeadScanner.h"
#include "http/HttpParseStep.h"

#include <memory>

namespace filbertbeam {

template<bool isRequest>
class BeastParser;

// Parses and checks one request after another. Strict: whatever two
// implementations could read differently is refused.
class HttpRequestParser
{
public:
  HttpRequestParser(std::size_t aHeadLimit, std::uint64_t aBodyLimit);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  // Prepares for the next request of the connection.
  void Reset();

  // Parses up to the next element of aInput and sets aConsumed to the bytes
  // that need not be given again.
  HttpParseStep Parse(ByteView aInput, std::size_t& aConsumed);

  // Valid after HttpParseStep::Head.
  const HttpRequestHead& Head() const { return head_; }
  bool KeepAlive() const { return keepAlive_; }
  bool ExpectsContinue() const { return expectsContinue_; }

  // Valid after HttpParseStep::Body.
  ByteView Body() const { return body_; }

  // Valid after HttpParseStep::Failed: the status that answers the request.
  int FailureStatus() const { return failureStatus_; }
  const std::string& LastReason() const { return lastReason_; }

private:
  HttpParseStep ParseHead(ByteView aInput, std::size_t& aConsumed);
  HttpParseStep ParseBody(ByteView aInput, std::size_t& aConsumed);
  HttpParseStep Fail(int aStatus, std::string_view aReason);
  bool CheckHead();
  bool CheckTarget();
  bool CheckHost();
  bool CheckFraming();
  bool CheckExpectation();

  std::size_t headLimit_;
  std::uint64_t bodyLimit_;
  HttpHeadScanner scanner_;
  std::unique_ptr<BeastParser<true>> parser_;
  HttpRequestHead head_;
  bool isHeadDone_ = false;
  bool keepAlive_ = false;
  bool expectsContinue_ = false;
  std::uint64_t bodyBytes_ = 0;
  ByteView body_;
  int failureStatus_ = 0;
  std::string lastReason_;
};

} // namespace filbertbeam
