#pragma once

#include <chrono>

class QTcpSocket;

namespace filbertbeam {

// Lets the operating system probe the peer once a second while the connection
// is idle, and fails the connection when probes or sent data have not been
// acknowledged for about aTimeout. Does nothing if aTimeout is 0.
void
EnableTcpKeepAlive(const QTcpSocket& aSocket, std::chrono::seconds aTimeout);

} // namespace filbertbeam
