#include "membership/DatagramSocket.h"

#include <QHostAddress>
#include <QNetworkProxy>

namespace filbertbeam {

namespace {

// Larger datagrams are truncated, and then refused as malformed.
constexpr int kMaxDatagramBytes = 8 * 1024;

} // namespace

std::unique_ptr<DatagramSocket>
DatagramSocket::Create(const Endpoint& aListen, std::string& aReason)
{
  std::unique_ptr<DatagramSocket> socket(new DatagramSocket);
  const QHostAddress address(QString::fromStdString(aListen.address));
  if (address.isNull()) {
    aReason = "not an IP address: " + aListen.address;
    return nullptr;
  }
  // Without this, Qt looks up the proxy of the system in a thread of its own,
  // and sends through one that the environment sets.
  socket->socket_.setProxy(QNetworkProxy::NoProxy);
  if (!socket->socket_.bind(address, aListen.port)) {
    aReason = socket->socket_.errorString().toStdString();
    return nullptr;
  }
  DatagramSocket* self = socket.get();
  QObject::connect(&socket->socket_,
                   &QUdpSocket::readyRead,
                   &socket->socket_,
                   [self] { self->ReceiveAll(); });
  return socket;
}

Endpoint
DatagramSocket::LocalEndpoint() const
{
  return { socket_.localAddress().toString().toStdString(),
           socket_.localPort() };
}

bool
DatagramSocket::Send(const Endpoint& aReceiver, std::string_view aBytes)
{
  const QHostAddress address(QString::fromStdString(aReceiver.address));
  return socket_.writeDatagram(aBytes.data(),
                               static_cast<qint64>(aBytes.size()),
                               address,
                               aReceiver.port) ==
         static_cast<qint64>(aBytes.size());
}

void
DatagramSocket::ReceiveAll()
{
  std::string buffer(kMaxDatagramBytes, '\0');
  while (socket_.hasPendingDatagrams()) {
    QHostAddress address;
    quint16 port = 0;
    const qint64 size =
      socket_.readDatagram(buffer.data(), kMaxDatagramBytes, &address, &port);
    if (size < 0) {
      // The error belongs to an earlier datagram that was sent to a closed
      // port.
      continue;
    }
    if (handler_) {
      handler_({ address.toString().toStdString(), port },
               ByteView(buffer).first(static_cast<std::size_t>(size)));
    }
  }
}

} // namespace filbertbeam
