#pragma once

#include "http/HttpMessage.h"

namespace filbertbeam {

// Finds the end of a message head and refuses what two parsers could read
// differently: a bare CR or LF, a folded line, and whitespace or another
// character that is not a token character before the colon.
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

  // aInput starts at the first byte of the message each time and grows from
  // call to call; bytes are examined once.
  Result Scan(ByteView aInput);

  // Bytes of the empty line that may stand before the start line.
  std::size_t LeadingBytes() const { return leadingBytes_; }
  // Bytes up to and with the empty line that ends the head.
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
