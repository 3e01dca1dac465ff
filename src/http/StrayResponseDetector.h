#pragma once

#include "http/HttpHeadScanner.h"

#include <functional>
#include <optional>
#include <string>

namespace filbertbeam {

// True if the status line of aHead or the value of a field contains the
// beginning of a response, which is then mixed into the head. With
// aIsReused false, a field may consist of a status line: no earlier response
// can have brought it, and servers tell of others in that way.
bool
HasResponseWithin(const HttpResponseHead& aHead, bool aIsReused);

// Searches the body of a response for the head of another response: a faulty
// server may send a second copy of an earlier response at any time, and the
// framing of the body doesn't show it. Bytes that may be the beginning of such
// a head are held back until more bytes decide it.
class StrayResponseDetector
{
public:
  // Returns true if a response with this head is no part of the body. Only
  // status and fields are set; the fields include those of the connection, and
  // the status may be any number of three digits.
  using Predicate = std::function<bool(const HttpResponseHead&)>;

  // Whether an incomplete head at the end of a body is part of it.
  enum class Ending
  {
    Certain,
    // It counts as the beginning of a copy, the rest of which was cut off or
    // has not arrived yet.
    Doubtful,
  };

  // aHeadLimit is the maximum size in bytes of the head of a response.
  StrayResponseDetector(std::size_t aHeadLimit, Predicate aIsStray);

  // Prepares for the next body. With aIsExamining false, all bytes pass.
  void Reset(bool aIsExamining);

  // Examines the next bytes of the body. Returns those that are known to be
  // part of it, held back ones included, or nullopt if they hold a stray
  // response. The view is valid until the next call and no longer than aBytes.
  std::optional<ByteView> Examine(ByteView aBytes);
  // The body is complete, and aFollowing has arrived behind it. As Examine, for
  // the bytes that are held back.
  std::optional<ByteView> Finish(ByteView aFollowing, Ending aEnding);

  // True if bytes are held back.
  bool IsHolding() const { return !held_.empty(); }

private:
  // Moves decided_ behind the bytes that are known to be part of the body.
  // Returns false if a stray response follows them.
  bool Decide();
  // Returns true once the bytes at decided_ are known to begin no stray
  // response, and moves decided_ behind their first ones.
  bool DecideHead();
  // Returns the first aSize of the held bytes, which are then released.
  ByteView Release(std::size_t aSize);

  std::size_t headLimit_;
  Predicate isStray_;
  bool isExamining_ = false;
  std::string held_;
  // In bytes of held_.
  std::size_t decided_ = 0;
  // Of the possible head at decided_, once its status line has begun.
  std::optional<HttpHeadScanner> scanner_;
  bool isStrayFound_ = false;
  std::string released_;
};

} // namespace filbertbeam
