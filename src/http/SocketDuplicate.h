#pragma once

class QTcpSocket;

namespace filbertbeam {

// A duplicate descriptor of a socket that stays valid when Qt closes its own.
// Qt reports a reset of the connection as an orderly close; the duplicate
// distinguishes the two.
class SocketDuplicate
{
public:
  explicit SocketDuplicate(const QTcpSocket& aSocket);
  ~SocketDuplicate();
  SocketDuplicate(const SocketDuplicate&) = delete;
  SocketDuplicate& operator=(const SocketDuplicate&) = delete;

  // True if the peer has closed its side and has not reset the connection, and
  // all bytes that it sent were read.
  bool HasOrderlyClose() const;

private:
  int descriptor_;
};

} // namespace filbertbeam
