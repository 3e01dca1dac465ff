#pragma once

#include "http/HttpMessage.h"

#include <QTcpSocket>

#include <string>

namespace filbertbeam {

// Buffer for bytes that a connection has received and its parser has not
// consumed yet.
class HttpInputBuffer
{
public:
  // Maximum number of bytes in the read buffer of a socket; once it is full,
  // TCP flow control holds the peer back.
  static constexpr qint64 kSocketBytes = 64 * 1024;

  // The view is valid until the next call that reads, consumes or clears.
  ByteView Bytes() const { return ByteView(bytes_).subspan(begin_); }
  void Consume(std::size_t aBytes) { begin_ += aBytes; }
  void Clear();

  // Reads one block; returns false if the socket has no data.
  bool ReadFrom(QTcpSocket& aSocket);
  // Reads all data that the socket has buffered, at most kSocketBytes.
  void ReadRestOf(QTcpSocket& aSocket);

private:
  void DropConsumed();

  std::string bytes_;
  std::size_t begin_ = 0;
};

} // namespace filbertbeam
