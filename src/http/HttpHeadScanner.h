#pragma once

#include "http/HttpMessage.h"

namespace filbertbeam {

// Finds the end of a message head and rejects syntax that parsers may interpret
// differently: a bare CR or LF, a folded line, and whitespace or any other
// character before the colon that is not a token character.
class HttpHeadScanner
{
public:
  enum class Result
  {
    NeedMore,
    Complete,
    Malformed,
    TooLarge,
  };

  explicit HttpHeadScanner(std::size_t aLimit);

  // aInput always starts at the first byte of the message and grows from call
  // to call; each byte is examined once.
  Result Scan(ByteView aInput);

  // Size in bytes of the empty line that may precede the start line.
  std::size_t LeadingBytes() const { return leadingBytes_; }
  // Size in bytes of the input up to and including the empty line that ends the
  // head.
  std::size_t HeadBytes() const { return lineBegin_; }
  const std::string& LastReason() const { return lastReason_; }

private:
  Result ScanLine(std::string_view aLine);

  std::size_t limit_;
  std::size_t scanned_ = 0;
  std::size_t lineBegin_ = 0;
  std::size_t leadingBytes_ = 0;
  int lines_ = 0;
  std::string lastReason_;
};

} // namespace filbertbeam
