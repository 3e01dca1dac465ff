#include "http/HttpRequestParser.h"

#include "http/BeastParser.h"
#include "http/BodyFramingFields.h"
#include "http/ConnectionFields.h"

#include <algorithm>

namespace filbertbeam {

namespace {

constexpr std::size_t kMaxMethodBytes = 32;
// Maximum size of a chunk line or a trailer; without this limit, an endless
// chunk extension would have to be buffered.
constexpr std::size_t kMaxChunkLineBytes = 4096;
constexpr std::string_view kSchemePrefix = "http://";
constexpr std::string_view kUnsupportedVersion =
  "the HTTP version is not supported";

bool
IsVisible(char aCharacter)
{
  return aCharacter > 0x20 && aCharacter < 0x7F;
}

bool
IsHostCharacter(char aCharacter)
{
  constexpr std::string_view kForbidden = "/?#@,\\\"<>";
  return IsVisible(aCharacter) &&
         kForbidden.find(aCharacter) == std::string_view::npos;
}

// True if the start line ends with an HTTP version, supported or not.
bool
EndsWithHttpVersion(ByteView aHead)
{
  constexpr std::string_view kExample = " HTTP/1.1";
  const std::string_view head(aHead.data(), aHead.size());
  const std::string_view line = head.substr(0, head.find('\r'));
  if (line.size() < kExample.size() ||
      std::count(line.begin(), line.end(), ' ') != 2) {
    return false;
  }
  const std::string_view version = line.substr(line.size() - kExample.size());
  const auto isDigit = [](char aCharacter) {
    return aCharacter >= '0' && aCharacter <= '9';
  };
  return version.starts_with(" HTTP/") && isDigit(version[6]) &&
         version[7] == '.' && isDigit(version[8]);
}

} // namespace

HttpRequestParser::HttpRequestParser(std::size_t aHeadLimit,
                                     std::uint64_t aBodyLimit)
  : headLimit_(aHeadLimit)
  , bodyLimit_(aBodyLimit)
  , requestBodyLimit_(aBodyLimit)
  , scanner_(aHeadLimit)
  , parser_(std::make_unique<BeastParser<true>>())
{
}

HttpRequestParser::~HttpRequestParser() = default;

void
HttpRequestParser::SetLimits(std::size_t aHeadLimit, std::uint64_t aBodyLimit)
{
  headLimit_ = aHeadLimit;
  bodyLimit_ = aBodyLimit;
}

void
HttpRequestParser::BeginRequest()
{
  hasBegun_ = true;
  scanner_ = HttpHeadScanner(headLimit_);
  requestBodyLimit_ = bodyLimit_;
}

void
HttpRequestParser::Reset()
{
  hasBegun_ = false;
  parser_ = std::make_unique<BeastParser<true>>();
  head_ = {};
  isHeadDone_ = false;
  keepAlive_ = false;
  expectsContinue_ = false;
  bodyBytes_ = 0;
  body_ = {};
  failureStatus_ = 0;
  lastReason_.clear();
}

HttpParseStep
HttpRequestParser::Parse(ByteView aInput, std::size_t& aConsumed)
{
  aConsumed = 0;
  if (failureStatus_ != 0) {
    return HttpParseStep::Failed;
  }
  return isHeadDone_ ? ParseBody(aInput, aConsumed)
                     : ParseHead(aInput, aConsumed);
}

HttpParseStep
HttpRequestParser::ParseHead(ByteView aInput, std::size_t& aConsumed)
{
  if (aInput.empty()) {
    return HttpParseStep::NeedMore;
  }
  if (!hasBegun_) {
    BeginRequest();
  }
  switch (scanner_.Scan(aInput)) {
    case HttpHeadScanner::Result::NeedMore:
      return HttpParseStep::NeedMore;
    case HttpHeadScanner::Result::Malformed:
      return Fail(400, scanner_.LastReason());
    case HttpHeadScanner::Result::TooLarge:
      return Fail(431, scanner_.LastReason());
    case HttpHeadScanner::Result::Complete:
      break;
  }
  boost::beast::error_code error;
  const ByteView bytes = aInput.subspan(
    scanner_.LeadingBytes(), scanner_.HeadBytes() - scanner_.LeadingBytes());
  parser_->Put(bytes, error);
  if (error == boost::beast::http::error::bad_version &&
      EndsWithHttpVersion(bytes)) {
    return Fail(505, kUnsupportedVersion);
  }
  if (error) {
    return Fail(400, error.message());
  }
  if (!parser_->is_header_done()) {
    return Fail(400, "the head cannot be parsed");
  }
  aConsumed = scanner_.HeadBytes();
  isHeadDone_ = true;
  if (!CheckHead()) {
    return HttpParseStep::Failed;
  }
  return HttpParseStep::Head;
}

HttpParseStep
HttpRequestParser::ParseBody(ByteView aInput, std::size_t& aConsumed)
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
      return Fail(400, error.message());
    }
    body_ = parser_->body;
    if (!body_.empty()) {
      bodyBytes_ += body_.size();
      if (bodyBytes_ > requestBodyLimit_) {
        return Fail(413, "the body is too large");
      }
      return HttpParseStep::Body;
    }
    if (used == 0 && !parser_->is_done()) {
      if (rest.size() >= kMaxChunkLineBytes) {
        return Fail(400, "a chunk line or the trailer is too long");
      }
      return HttpParseStep::NeedMore;
    }
  }
  return HttpParseStep::End;
}

HttpParseStep
HttpRequestParser::Fail(int aStatus, std::string_view aReason)
{
  failureStatus_ = aStatus;
  lastReason_ = aReason;
  return HttpParseStep::Failed;
}

bool
HttpRequestParser::CheckHead()
{
  // HTTP/1.0 has no chunked coding, so a response of unknown length could only
  // end with the connection, and a truncated one would look complete.
  if (parser_->httpVersion != 11) {
    Fail(505, kUnsupportedVersion);
    return false;
  }
  head_.method = std::move(parser_->method);
  head_.target = std::move(parser_->target);
  head_.fields = std::move(parser_->fields);
  if (head_.method.size() > kMaxMethodBytes || head_.method == "CONNECT") {
    Fail(501, "the method is not supported");
    return false;
  }
  if (!CheckHost() || !CheckTarget() || !CheckFraming() ||
      !CheckExpectation()) {
    return false;
  }
  keepAlive_ = parser_->keep_alive();
  RemoveConnectionFields(head_.fields);
  return true;
}

bool
HttpRequestParser::CheckTarget()
{
  std::string& target = head_.target;
  if (!std::all_of(target.begin(), target.end(), IsVisible) ||
      target.find('#') != std::string::npos) {
    Fail(400, "the target contains a forbidden character");
    return false;
  }
  if (target.starts_with('/') || (target == "*" && head_.method == "OPTIONS")) {
    return true;
  }
  // The absolute form replaces the Host field (RFC 9112, 3.2.2).
  if (target.size() > kSchemePrefix.size() &&
      EqualsIgnoringCase(
        std::string_view(target).substr(0, kSchemePrefix.size()),
        kSchemePrefix)) {
    const std::string rest = target.substr(kSchemePrefix.size());
    const auto end = rest.find_first_of("/?");
    const std::string host = rest.substr(0, end);
    if (!host.empty() &&
        std::all_of(host.begin(), host.end(), IsHostCharacter)) {
      std::string path = end == std::string::npos ? "" : rest.substr(end);
      target = path.starts_with('/') ? path : "/" + path;
      head_.fields.Set("Host", host);
      return true;
    }
  }
  Fail(400, "the target is malformed");
  return false;
}

bool
HttpRequestParser::CheckHost()
{
  int count = 0;
  bool isValid = true;
  for (const HttpField& field : head_.fields.All()) {
    if (EqualsIgnoringCase(field.name, "Host")) {
      ++count;
      isValid =
        isValid &&
        std::all_of(field.value.begin(), field.value.end(), IsHostCharacter);
    }
  }
  if (count != 1 || !isValid) {
    Fail(400, "a request needs exactly one valid Host field");
    return false;
  }
  return true;
}

bool
HttpRequestParser::CheckFraming()
{
  const auto framing = ReadBodyFraming(head_.fields, lastReason_);
  if (!framing) {
    failureStatus_ = 400;
    return false;
  }
  if (framing->unknownCoding) {
    Fail(501, "the transfer coding is not supported");
    return false;
  }
  head_.framing = framing->framing;
  head_.contentLength = framing->contentLength;
  if (head_.framing == BodyFraming::Length &&
      head_.contentLength > requestBodyLimit_) {
    Fail(413, "the body is too large");
    return false;
  }
  return true;
}

bool
HttpRequestParser::CheckExpectation()
{
  const auto expectation = head_.fields.Find("Expect");
  if (!expectation) {
    return true;
  }
  if (!EqualsIgnoringCase(*expectation, "100-continue")) {
    Fail(417, "the expectation is not supported");
    return false;
  }
  expectsContinue_ = true;
  // The server handles the expectation itself.
  head_.fields.Remove("Expect");
  return true;
}

} // namespace filbertbeam
