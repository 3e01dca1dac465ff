#include "http/SocketDuplicate.h"

#include <QTcpSocket>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace filbertbeam {

SocketDuplicate::SocketDuplicate(const QTcpSocket& aSocket)
  : descriptor_(
      ::fcntl(static_cast<int>(aSocket.socketDescriptor()), F_DUPFD_CLOEXEC, 0))
{
}

SocketDuplicate::~SocketDuplicate()
{
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

bool
SocketDuplicate::HasOrderlyClose() const
{
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_state != TCP_CLOSE_WAIT) {
    return false;
  }
  // Qt also closes its descriptor after an error, for example of a write.
  char byte = 0;
  return ::recv(descriptor_, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace filbertbeam
