#pragma once

class QTcpSocket;

namespace filbertbeam {

enum class SocketCondition
{
  // The connection is open and has no data to read.
  Idle,
  HasInput,
  // The peer closed or reset the connection.
  PeerClosed,
};

// Queries the operating system, so that input and a close are detected even if
// the event loop has not handled them yet.
SocketCondition
ProbeSocket(const QTcpSocket& aSocket);

// True if the peer closed or reset the connection, even if input that arrived
// before has not been read yet.
bool
HasPeerClosed(const QTcpSocket& aSocket);

} // namespace filbertbeam
