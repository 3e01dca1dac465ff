#pragma once

#include "http/HttpHeadScanner.h"
#include "http/HttpParseStep.h"

#include <memory>

namespace filbertbeam {

template<bool isRequest>
class BeastParser;

// Parses and validates one request after another. Rejects any input that two
// implementations could interpret differently.
class HttpRequestParser
{
public:
  HttpRequestParser(std::size_t aHeadLimit, std::uint64_t aBodyLimit);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  // Applies to requests of which no byte has been passed yet.
  void SetLimits(std::size_t aHeadLimit, std::uint64_t aBodyLimit);

  // Prepares for the next request of the connection.
  void Reset();

  // Parses aInput up to the end of the next element and sets aConsumed to the
  // number of bytes that need not be passed again.
  HttpParseStep Parse(ByteView aInput, std::size_t& aConsumed);

  // Valid after HttpParseStep::Head.
  const HttpRequestHead& Head() const { return head_; }
  bool KeepAlive() const { return keepAlive_; }
  bool ExpectsContinue() const { return expectsContinue_; }

  // Valid after HttpParseStep::Body.
  ByteView Body() const { return body_; }

  // Valid after HttpParseStep::Failed: the status of the error response.
  int FailureStatus() const { return failureStatus_; }
  const std::string& LastReason() const { return lastReason_; }

private:
  // Fixes the limits of a request at its first byte, so that a request which
  // has begun is not held to later ones.
  void BeginRequest();
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
  bool hasBegun_ = false;
  std::uint64_t requestBodyLimit_;
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
