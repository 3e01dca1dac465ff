#pragma once

#include "http/HttpHeadScanner.h"
#include "http/HttpParseStep.h"

#include <chrono>
#include <memory>

namespace filbertbeam {

template<bool isRequest>
class BeastParser;

// Parses and validates one response after another; skips interim (1xx)
// responses.
class HttpResponseParser
{
public:
  explicit HttpResponseParser(std::size_t aHeadLimit);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  // Prepares for the response to a request with method aMethod.
  void Reset(std::string_view aMethod);

  HttpParseStep Parse(ByteView aInput, std::size_t& aConsumed);
  // Handles the orderly close of the connection. Returns End if the close ends
  // the body, otherwise Failed, since the response is truncated.
  HttpParseStep ParseEndOfInput();

  const HttpResponseHead& Head() const { return head_; }
  bool KeepAlive() const { return keepAlive_; }
  // How long the server keeps an idle connection open, if it announces that.
  std::optional<std::chrono::milliseconds> IdleTimeout() const
  {
    return idleTimeout_;
  }
  ByteView Body() const { return body_; }
  const std::string& LastReason() const { return lastReason_; }

private:
  HttpParseStep ParseHead(ByteView aInput, std::size_t& aConsumed);
  HttpParseStep ParseBody(ByteView aInput, std::size_t& aConsumed);
  HttpParseStep Fail(std::string_view aReason);
  bool CheckHead();
  void StartMessage();

  std::size_t headLimit_;
  HttpHeadScanner scanner_;
  std::unique_ptr<BeastParser<false>> parser_;
  HttpResponseHead head_;
  bool isHeadRequest_ = false;
  bool isHeadDone_ = false;
  bool isFailed_ = false;
  bool keepAlive_ = false;
  std::optional<std::chrono::milliseconds> idleTimeout_;
  int interimResponses_ = 0;
  ByteView body_;
  std::string lastReason_;
};

} // namespace filbertbeam
