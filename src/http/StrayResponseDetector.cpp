#include "http/StrayResponseDetector.h"

#include "http/HttpResponseParser.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::string_view kBegin = "HTTP/1.";

// True if aBytes begin, or may begin, a status line.
bool
IsStatusLine(std::string_view aBytes)
{
  // A digit stands for any digit.
  constexpr std::string_view kPattern = "HTTP/1.0 000";
  const std::size_t size = std::min(aBytes.size(), kPattern.size());
  return std::equal(kPattern.begin(),
                    kPattern.begin() + static_cast<std::ptrdiff_t>(size),
                    aBytes.begin(),
                    [](char aExpected, char aActual) {
                      return aExpected == '0' ? aActual >= '0' && aActual <= '9'
                                              : aActual == aExpected;
                    });
}

// Returns the position of the first bytes that begin a response or, at the end
// of aBytes, may begin one, and the size of aBytes if there are none.
std::size_t
FindBegin(std::string_view aBytes)
{
  const auto whole = aBytes.find(kBegin);
  if (whole != std::string_view::npos) {
    return whole;
  }
  for (std::size_t size = std::min(kBegin.size() - 1, aBytes.size()); size > 0;
       --size) {
    if (aBytes.ends_with(kBegin.substr(0, size))) {
      return aBytes.size() - size;
    }
  }
  return aBytes.size();
}

} // namespace

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
  pending_.clear();
  checked_ = 0;
  scanner_.reset();
  safe_ = {};
}

bool
StrayResponseDetector::Examine(ByteView aBytes)
{
  const std::string_view bytes(aBytes.data(), aBytes.size());
  if (!isExamining_ || (pending_.empty() && FindBegin(bytes) == bytes.size())) {
    safe_ = aBytes;
    return true;
  }
  safe_ = {};
  pending_ += bytes;
  if (Check() == Verdict::Stray) {
    return false;
  }
  released_.assign(pending_, 0, checked_);
  pending_.erase(0, checked_);
  checked_ = 0;
  safe_ = released_;
  return true;
}

bool
StrayResponseDetector::Finish(ByteView aFollowing, bool aIsDoubtful)
{
  safe_ = {};
  const std::size_t size = pending_.size();
  if (size == 0) {
    return true;
  }
  pending_.append(aFollowing.data(), aFollowing.size());
  if (Check() == Verdict::Stray) {
    return false;
  }
  // A head behind the body is no part of it.
  const bool isIncompleteHead =
    checked_ < size && pending_.size() - checked_ >= kBegin.size();
  if (isIncompleteHead && aIsDoubtful) {
    return false;
  }
  released_.assign(pending_, 0, size);
  Reset(isExamining_);
  safe_ = released_;
  return true;
}

StrayResponseDetector::Verdict
StrayResponseDetector::Check()
{
  const std::string_view bytes(pending_);
  while (true) {
    if (!scanner_) {
      checked_ += FindBegin(bytes.substr(checked_));
      if (bytes.size() - checked_ < kBegin.size()) {
        return Verdict::Passed;
      }
      scanner_.emplace(headLimit_);
    }
    const auto rest = bytes.substr(checked_);
    if (!IsStatusLine(rest)) {
      checked_ += kBegin.size();
      scanner_.reset();
      continue;
    }
    const auto result = scanner_->Scan(rest);
    if (result == HttpHeadScanner::Result::NeedMore) {
      return Verdict::Passed;
    }
    const std::size_t lines = scanner_->HeadBytes();
    if (result == HttpHeadScanner::Result::Complete &&
        IsStrayHead(rest.substr(0, lines))) {
      return Verdict::Stray;
    }
    // A head that begins within these lines would end, or fail, as this one.
    checked_ += std::max(lines, kBegin.size());
    scanner_.reset();
  }
}

bool
StrayResponseDetector::IsStrayHead(std::string_view aHead) const
{
  HttpResponseParser parser(headLimit_);
  parser.Reset("GET");
  std::size_t consumed = 0;
  return parser.Parse({ aHead.data(), aHead.size() }, consumed) ==
           HttpParseStep::Head &&
         isStray_(parser.Head());
}

} // namespace filbertbeam
