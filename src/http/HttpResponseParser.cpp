#include "http/HttpResponseParser.h"

#include "http/BeastParser.h"
#include "http/BodyFramingFields.h"
#include "http/ConnectionFields.h"

#include <charconv>

namespace filbertbeam {

namespace {

constexpr std::size_t kMaxChunkLineBytes = 4096;
// Limits what a server can send before its final response.
constexpr int kMaxInterimResponses = 16;

// Reads "Keep-Alive: timeout=SECONDS".
std::optional<std::chrono::milliseconds>
ReadIdleTimeout(const HttpFields& aFields)
{
  constexpr std::string_view kParameter = "timeout=";
  for (const std::string_view parameter :
       SplitList(aFields.Find("Keep-Alive").value_or(""))) {
    if (!parameter.starts_with(kParameter)) {
      continue;
    }
    const std::string_view text = parameter.substr(kParameter.size());
    unsigned seconds = 0;
    const auto result =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (result.ec == std::errc()) {
      return std::chrono::seconds(seconds);
    }
  }
  return std::nullopt;
}

} // namespace

HttpResponseParser::HttpResponseParser(std::size_t aHeadLimit)
  : headLimit_(aHeadLimit)
  , scanner_(aHeadLimit)
{
  StartMessage();
}

HttpResponseParser::~HttpResponseParser() = default;

void
HttpResponseParser::Reset(std::string_view aMethod)
{
  isHeadRequest_ = aMethod == "HEAD";
  isFailed_ = false;
  interimResponses_ = 0;
  lastReason_.clear();
  StartMessage();
}

void
HttpResponseParser::StartMessage()
{
  scanner_ = HttpHeadScanner(headLimit_);
  parser_ = std::make_unique<BeastParser<false>>();
  parser_->skip(isHeadRequest_);
  head_ = {};
  isHeadDone_ = false;
  keepAlive_ = false;
  body_ = {};
}

HttpParseStep
HttpResponseParser::Parse(ByteView aInput, std::size_t& aConsumed)
{
  aConsumed = 0;
  if (isFailed_) {
    return HttpParseStep::Failed;
  }
  return isHeadDone_ ? ParseBody(aInput, aConsumed)
                     : ParseHead(aInput, aConsumed);
}

HttpParseStep
HttpResponseParser::ParseEndOfInput()
{
  if (isFailed_) {
    return HttpParseStep::Failed;
  }
  if (isHeadDone_ &&
      (parser_->is_done() || head_.framing == BodyFraming::UntilClose)) {
    return HttpParseStep::End;
  }
  return Fail(isHeadDone_ ? "the response is truncated"
                          : "the connection closed before a response");
}

HttpParseStep
HttpResponseParser::ParseHead(ByteView aInput, std::size_t& aConsumed)
{
  while (true) {
    const ByteView rest = aInput.subspan(aConsumed);
    switch (scanner_.Scan(rest)) {
      case HttpHeadScanner::Result::NeedMore:
        return HttpParseStep::NeedMore;
      case HttpHeadScanner::Result::Malformed:
      case HttpHeadScanner::Result::TooLarge:
        return Fail(scanner_.LastReason());
      case HttpHeadScanner::Result::Complete:
        break;
    }
    if (scanner_.LeadingBytes() > 0) {
      return Fail("the response begins with an empty line");
    }
    boost::beast::error_code error;
    parser_->Put(rest.first(scanner_.HeadBytes()), error);
    if (error) {
      return Fail(error.message());
    }
    if (!parser_->is_header_done()) {
      return Fail("the response head cannot be parsed");
    }
    aConsumed += scanner_.HeadBytes();
    if (parser_->status >= 200) {
      isHeadDone_ = true;
      return CheckHead() ? HttpParseStep::Head : HttpParseStep::Failed;
    }
    if (parser_->status == 101 || parser_->status < 100 ||
        ++interimResponses_ > kMaxInterimResponses) {
      return Fail("an unexpected interim response arrived");
    }
    StartMessage();
  }
}

HttpParseStep
HttpResponseParser::ParseBody(ByteView aInput, std::size_t& aConsumed)
{
  while (!parser_->is_done()) {
    const ByteView rest = aInput.subspan(aConsumed);
    if (rest.empty()) {
      return HttpParseStep::NeedMore;
    }
    boost::beast::error_code error;
    const std::size_t used = parser_->Put(rest, error);
    aConsumed += used;
    if (error && error != boost::beast::http::error::need_more) {
      return Fail(error.message());
    }
    body_ = parser_->body;
    if (!body_.empty()) {
      return HttpParseStep::Body;
    }
    if (used == 0 && !parser_->is_done()) {
      if (rest.size() >= kMaxChunkLineBytes) {
        return Fail("a chunk line or the trailer is too long");
      }
      return HttpParseStep::NeedMore;
    }
  }
  return HttpParseStep::End;
}

HttpParseStep
HttpResponseParser::Fail(std::string_view aReason)
{
  isFailed_ = true;
  lastReason_ = aReason;
  return HttpParseStep::Failed;
}

bool
HttpResponseParser::CheckHead()
{
  if (parser_->status > 599) {
    Fail("the status is out of range");
    return false;
  }
  if (parser_->httpVersion != 11 && parser_->httpVersion != 10) {
    Fail("the HTTP version is not supported");
    return false;
  }
  head_.status = parser_->status;
  head_.reason = std::move(parser_->reason);
  head_.fields = std::move(parser_->fields);
  const auto framing = ReadBodyFraming(head_.fields, lastReason_);
  if (!framing) {
    isFailed_ = true;
    return false;
  }
  if (framing->unknownCoding ||
      (framing->framing == BodyFraming::Chunked && parser_->httpVersion < 11)) {
    Fail("the transfer coding is not supported");
    return false;
  }
  head_.framing = framing->framing;
  head_.contentLength = framing->contentLength;
  keepAlive_ = parser_->keep_alive();
  idleTimeout_ = ReadIdleTimeout(head_.fields);
  if (head_.framing == BodyFraming::None && !parser_->is_done()) {
    // A body without a length ends with the connection, whether the server
    // announces that or not (RFC 9112, 6.3). If it never ends, the time limit
    // of the request ends the exchange.
    head_.framing = BodyFraming::UntilClose;
    keepAlive_ = false;
  }
  RemoveConnectionFields(head_.fields);
  return true;
}

} // namespace filbertbeam
