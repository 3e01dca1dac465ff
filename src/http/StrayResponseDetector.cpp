#include "http/StrayResponseDetector.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
// The beginning of a status line; a zero stands for any digit.
constexpr std::string_view kStatusLine = "HTTP/1.0 000";
constexpr std::size_t kStatusBegin = 9;
constexpr std::size_t kStatusDigits = 3;
// Longer lines are no status lines, which bounds the cost of a body with many
// possible ones.
constexpr std::size_t kMaxStatusLine = 256; // bytes

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

// True if aBytes begin, or may begin, a status line.
bool
MayBeStatusLine(std::string_view aBytes)
{
  const std::size_t size = std::min(aBytes.size(), kStatusLine.size());
  for (std::size_t i = 0; i < size; ++i) {
    const char expected = kStatusLine[i];
    if (expected == '0' ? !IsDigit(aBytes[i]) : aBytes[i] != expected) {
      return false;
    }
  }
  return aBytes.size() < kMaxStatusLine ||
         aBytes.substr(0, kMaxStatusLine).find('\n') != std::string_view::npos;
}

// Returns the position of the first bytes that begin a response or, at the end
// of aBytes, may begin one, and the size of aBytes if there are none.
std::size_t
FindProtocol(std::string_view aBytes)
{
  const auto whole = aBytes.find(kProtocol);
  if (whole != std::string_view::npos) {
    return whole;
  }
  for (std::size_t size = std::min(kProtocol.size() - 1, aBytes.size());
       size > 0;
       --size) {
    if (aBytes.ends_with(kProtocol.substr(0, size))) {
      return aBytes.size() - size;
    }
  }
  return aBytes.size();
}

bool
HasStatusLine(std::string_view aText)
{
  for (auto at = aText.find(kProtocol); at != std::string_view::npos;
       at = aText.find(kProtocol, at + 1)) {
    const auto line = aText.substr(at, kStatusLine.size());
    if (line.size() == kStatusLine.size() && MayBeStatusLine(line)) {
      return true;
    }
  }
  return false;
}

std::string_view
WithoutSpaces(std::string_view aText)
{
  constexpr std::string_view kSpaces = " \t\r";
  const auto begin = aText.find_first_not_of(kSpaces);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpaces) - begin + 1);
}

// Reads a head that HttpHeadScanner has accepted. Unlike HttpResponseParser, it
// accepts any status and any fields: a copy need not be a valid response.
HttpResponseHead
ReadHead(std::string_view aHead)
{
  HttpResponseHead head;
  const char* const status = aHead.data() + kStatusBegin;
  std::from_chars(status, status + kStatusDigits, head.status);
  std::size_t begin = aHead.find('\n') + 1;
  while (begin < aHead.size()) {
    const std::size_t end = aHead.find('\n', begin);
    const std::string_view line = aHead.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      head.fields.Add(line.substr(0, colon),
                      WithoutSpaces(line.substr(colon + 1)));
    }
    begin = end + 1;
  }
  return head;
}

} // namespace

bool
HasResponseWithin(const HttpResponseHead& aHead, bool aIsReused)
{
  const std::size_t begin = aIsReused ? 0 : 1;
  return HasStatusLine(aHead.reason) ||
         std::ranges::any_of(aHead.fields.All(), [=](const HttpField& aField) {
           const std::string_view value(aField.value);
           return HasStatusLine(value.substr(std::min(begin, value.size())));
         });
}

StrayResponseDetector::StrayResponseDetector(std::size_t aHeadLimit,
                                             Predicate aIsStray)
  : headLimit_(aHeadLimit)
  , isStray_(std::move(aIsStray))
{
}

void
StrayResponseDetector::Reset(bool aIsExamining)
{
  isExamining_ = aIsExamining;
  held_ = {};
  released_ = {};
  decided_ = 0;
  scanner_.reset();
  isStrayFound_ = false;
}

std::optional<ByteView>
StrayResponseDetector::Examine(ByteView aBytes)
{
  const std::string_view bytes(aBytes.data(), aBytes.size());
  if (!isExamining_ || (held_.empty() && FindProtocol(bytes) == bytes.size())) {
    return aBytes;
  }
  held_ += bytes;
  if (!Decide()) {
    return std::nullopt;
  }
  return Release(decided_);
}

std::optional<ByteView>
StrayResponseDetector::Finish(ByteView aFollowing, Ending aEnding)
{
  // A head behind the body is no part of it.
  const std::size_t bodySize = held_.size();
  held_.append(aFollowing.data(), aFollowing.size());
  const bool isSound = Decide() || decided_ >= bodySize;
  const bool isIncompleteHead =
    decided_ < bodySize && held_.size() - decided_ >= kStatusLine.size();
  if (!isSound || (isIncompleteHead && aEnding == Ending::Doubtful)) {
    return std::nullopt;
  }
  return Release(bodySize);
}

bool
StrayResponseDetector::Decide()
{
  while (!isStrayFound_) {
    if (!scanner_) {
      decided_ += FindProtocol(std::string_view(held_).substr(decided_));
      if (held_.size() - decided_ < kProtocol.size()) {
        return true;
      }
      scanner_.emplace(headLimit_);
    }
    if (!DecideHead()) {
      return !isStrayFound_;
    }
    scanner_.reset();
  }
  return false;
}

bool
StrayResponseDetector::DecideHead()
{
  const auto rest = std::string_view(held_).substr(decided_);
  if (!MayBeStatusLine(rest)) {
    decided_ += kProtocol.size();
    return true;
  }
  const HttpHeadScanner::Result result = scanner_->Scan(rest);
  if (result == HttpHeadScanner::Result::NeedMore) {
    return false;
  }
  if (result == HttpHeadScanner::Result::Complete &&
      isStray_(ReadHead(rest.substr(0, scanner_->HeadBytes())))) {
    isStrayFound_ = true;
    return false;
  }
  // Another head may begin within a field of this one.
  decided_ += kProtocol.size();
  return true;
}

ByteView
StrayResponseDetector::Release(std::size_t aSize)
{
  released_.assign(held_, 0, aSize);
  held_.erase(0, aSize);
  decided_ = 0;
  return released_;
}

} // namespace filbertbeam
