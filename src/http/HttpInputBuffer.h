#pragma once

#include "http/HttpMessage.h"

#include <QTcpSocket>

#include <string>

namespace filbertbeam {

// Bytes that a connection received and its parser has not consumed yet.
class HttpInputBuffer
{
public:
  // Most bytes that a socket keeps before the peer is held back.
  static constexpr qint64 kSocketBytes = 64 * 1024;

  // Valid until the next call that reads, consumes or clears.
  ByteView Bytes() const { return ByteView(bytes_).subspan(begin_); }
  void Consume(std::size_t aBytes) { begin_ += aBytes; }
  void Clear();

  // Reads one block; false when the socket has none.
  bool ReadFrom(QTcpSocket& aSocket);
  // Reads all that the socket has; at most kSocketBytes.
  void ReadRestOf(QTcpSocket& aSocket);

private:
  void DropConsumed();

  std::string bytes_;
  std::size_t begin_ = 0;
};

} // namespace filbertbeam
