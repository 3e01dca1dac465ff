#pragma once

class QTcpSocket;

namespace filbertbeam {

enum class SocketCondition
{
  // Open, and nothing to read.
  Idle,
  HasInput,
  // The peer closed or reset the connection.
  PeerClosed,
};

// Asks the operating system, so that input and a close that the event loop has
// not handled yet are seen.
SocketCondition
ProbeSocket(const QTcpSocket& aSocket);

// True when the peer closed or reset the connection, even while input that
// arrived before is not read yet.
bool
HasPeerClosed(const QTcpSocket& aSocket);

} // namespace filbertbeam
