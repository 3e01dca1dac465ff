#include "http/TcpKeepAlive.h"

#include <QTcpSocket>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace filbertbeam {

namespace {

void
SetNumber(const QTcpSocket& aSocket, int aLevel, int aOption, int aValue)
{
  // If the option cannot be set, the time limits of the callers still apply.
  (void)::setsockopt(static_cast<int>(aSocket.socketDescriptor()),
                     aLevel,
                     aOption,
                     &aValue,
                     sizeof(aValue));
}

} // namespace

void
EnableTcpKeepAlive(const QTcpSocket& aSocket, std::chrono::seconds aTimeout)
{
  const int seconds = static_cast<int>(aTimeout.count());
  if (seconds <= 0) {
    return;
  }
  constexpr int kProbeInterval = 1; // second
  SetNumber(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetNumber(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeInterval);
  SetNumber(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeInterval);
  SetNumber(aSocket, IPPROTO_TCP, TCP_KEEPCNT, std::max(seconds - 1, 1));
  SetNumber(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, seconds * 1000);
}

} // namespace filbertbeam
