#pragma once

#include "http/HttpHeadScanner.h"

#include <functional>
#include <optional>
#include <string>

namespace filbertbeam {

// Searches the body of a response for the head of another response: a faulty
// server may send a second copy of an earlier response at any time, and the
// framing of the body doesn't show it. Bytes that may be the beginning of such
// a head are held back until more bytes decide it.
class StrayResponseDetector
{
public:
  // Returns true if a response with this head is no part of the body.
  using Predicate = std::function<bool(const HttpResponseHead&)>;

  // aHeadLimit is the maximum size in bytes of the head of a response.
  StrayResponseDetector(std::size_t aHeadLimit, Predicate aIsStray);

  // Prepares for the next body. With aIsExamining false, all bytes pass.
  void Reset(bool aIsExamining);

  // Examines the next bytes of the body. Returns false if they hold a stray
  // response; Safe() then stays empty.
  bool Examine(ByteView aBytes);
  // The body is complete, and aFollowing has arrived behind it. Returns false
  // if its last bytes begin a stray response. With aIsDoubtful, a head that is
  // still incomplete counts as stray.
  bool Finish(ByteView aFollowing, bool aIsDoubtful);

  // The bytes of the body that the last call has released. The view is valid
  // until the next call, and no longer than the bytes that were passed to it.
  ByteView Safe() const { return safe_; }
  // True if bytes are held back.
  bool HasPending() const { return !pending_.empty(); }

private:
  enum class Verdict
  {
    // All bytes but those after checked_ are decided.
    Passed,
    Stray,
  };

  Verdict Check();
  bool IsStrayHead(std::string_view aHead) const;

  std::size_t headLimit_;
  Predicate isStray_;
  bool isExamining_ = false;
  // Bytes that are held back; begins with the possible head.
  std::string pending_;
  // Position in pending_ up to which it is decided, in bytes.
  std::size_t checked_ = 0;
  // Of the possible head at checked_, if its first line has begun.
  std::optional<HttpHeadScanner> scanner_;
  std::string released_;
  ByteView safe_;
};

} // namespace filbertbeam
