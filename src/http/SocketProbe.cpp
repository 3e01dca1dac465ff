#include "http/SocketProbe.h"

#include <QTcpSocket>

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace filbertbeam {

SocketCondition
ProbeSocket(const QTcpSocket& aSocket)
{
  if (aSocket.bytesAvailable() > 0) {
    return SocketCondition::HasInput;
  }
  if (aSocket.state() != QAbstractSocket::ConnectedState) {
    return SocketCondition::PeerClosed;
  }
  char byte = 0;
  const auto count = ::recv(static_cast<int>(aSocket.socketDescriptor()),
                            &byte,
                            sizeof byte,
                            MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return SocketCondition::HasInput;
  }
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return SocketCondition::Idle;
  }
  return SocketCondition::PeerClosed;
}

bool
HasPeerClosed(const QTcpSocket& aSocket)
{
  pollfd descriptor{ static_cast<int>(aSocket.socketDescriptor()),
                     POLLRDHUP,
                     0 };
  return ::poll(&descriptor, 1, 0) > 0 &&
         (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace filbertbeam
