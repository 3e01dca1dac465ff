#include "http/HttpHeadScanner.h"

#include "http/ConnectionFields.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// Limits the cost of a field lookup, which is linear.
constexpr int kMaxLines = 200;

bool
IsLineCharacter(char aCharacter)
{
  const auto value = static_cast<unsigned char>(aCharacter);
  return value == '\t' || (value >= 0x20 && value != 0x7F);
}

} // namespace

HttpHeadScanner::HttpHeadScanner(std::size_t aLimit)
  : limit_(aLimit)
{
}

HttpHeadScanner::Result
HttpHeadScanner::Scan(ByteView aInput)
{
  const std::string_view input(aInput.data(), std::min(aInput.size(), limit_));
  while (scanned_ < input.size()) {
    const auto lineFeed = input.find('\n', scanned_);
    if (lineFeed == std::string_view::npos) {
      scanned_ = input.size();
      break;
    }
    if (lineFeed == lineBegin_ || input[lineFeed - 1] != '\r') {
      lastReason_ = "a line of the head ends without CR LF";
      return Result::Malformed;
    }
    const auto line = input.substr(lineBegin_, lineFeed - 1 - lineBegin_);
    scanned_ = lineFeed + 1;
    lineBegin_ = scanned_;
    const Result result = ScanLine(line);
    if (result != Result::NeedMore) {
      return result;
    }
  }
  if (aInput.size() >= limit_) {
    lastReason_ = "the head is too large";
    return Result::TooLarge;
  }
  return Result::NeedMore;
}

HttpHeadScanner::Result
HttpHeadScanner::ScanLine(std::string_view aLine)
{
  if (aLine.empty()) {
    if (lines_ > 0) {
      return Result::Complete;
    }
    // RFC 9112, 2.2 recommends that servers accept one empty line before a
    // request.
    if (leadingBytes_ > 0) {
      lastReason_ = "the start line is empty";
      return Result::Malformed;
    }
    leadingBytes_ = lineBegin_;
    return Result::NeedMore;
  }
  if (!std::all_of(aLine.begin(), aLine.end(), IsLineCharacter)) {
    lastReason_ = "the head contains a control character";
    return Result::Malformed;
  }
  if (++lines_ == 1) {
    return Result::NeedMore;
  }
  if (lines_ > kMaxLines) {
    lastReason_ = "the head has too many fields";
    return Result::TooLarge;
  }
  const auto colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos ||
      !std::all_of(aLine.begin(),
                   aLine.begin() + static_cast<std::ptrdiff_t>(colon),
                   IsTokenCharacter)) {
    lastReason_ = "a field line has no valid name followed by a colon";
    return Result::Malformed;
  }
  return Result::NeedMore;
}

} // namespace filbertbeam
