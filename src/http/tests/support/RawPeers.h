#pragma once

#include "http/HttpMessage.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertbeam::testing {

// One end of a connection; the test controls which bytes it sends and checks
// those it receives.
class RawConnection
{
public:
  // Wraps a connection that a server has accepted.
  explicit RawConnection(QTcpSocket* aSocket)
    : socket_(aSocket)
  {
    Watch();
  }
  // Connects to a server on the loopback address.
  explicit RawConnection(std::uint16_t aPort, qint64 aReadBufferBytes = 0)
    : socket_(new QTcpSocket)
  {
    socket_->setReadBufferSize(aReadBufferBytes);
    Watch();
    socket_->connectToHost(QHostAddress(QHostAddress::LocalHost), aPort);
  }
  ~RawConnection()
  {
    socket_->disconnect();
    socket_->abort();
    socket_->deleteLater();
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(std::string_view aBytes)
  {
    socket_->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  }
  // Closes the connection after all earlier bytes are sent.
  void Close() { socket_->disconnectFromHost(); }
  QTcpSocket& Socket() { return *socket_; }

  // Returns how often aText occurs in the received bytes.
  int Count(std::string_view aText) const
  {
    int count = 0;
    for (auto at = received.find(aText); at != std::string::npos;
         at = received.find(aText, at + aText.size())) {
      ++count;
    }
    return count;
  }

  std::string received;
  bool isClosed = false;
  // While this is false, no received bytes are read.
  bool isReading = true;
  std::function<void(RawConnection&)> onReceived;

private:
  void Watch()
  {
    QObject::connect(socket_, &QTcpSocket::readyRead, socket_, [this] {
      if (!isReading) {
        return;
      }
      received += socket_->readAll().toStdString();
      if (onReceived) {
        onReceived(*this);
      }
    });
    QObject::connect(
      socket_, &QTcpSocket::disconnected, socket_, [this] { isClosed = true; });
    QObject::connect(socket_, &QTcpSocket::errorOccurred, socket_, [this] {
      isClosed = true;
    });
  }

  QTcpSocket* socket_;
};

// A server that accepts connections and leaves their bytes to the test.
class RawServer
{
public:
  RawServer()
  {
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      while (QTcpSocket* const socket = server_.nextPendingConnection()) {
        socket->setParent(nullptr);
        connections.push_back(std::make_unique<RawConnection>(socket));
        connections.back()->onReceived = onReceived;
        if (onAccepted) {
          onAccepted(*connections.back());
        }
      }
    });
    server_.listen(QHostAddress(QHostAddress::LocalHost));
  }

  Endpoint Address() const { return { "127.0.0.1", server_.serverPort() }; }

  // Returns the received bytes of all connections, concatenated.
  std::string Received() const
  {
    std::string all;
    for (const auto& connection : connections) {
      all += connection->received;
    }
    return all;
  }

  std::function<void(RawConnection&)> onAccepted;
  std::function<void(RawConnection&)> onReceived;
  std::vector<std::unique_ptr<RawConnection>> connections;

private:
  QTcpServer server_;
};

} // namespace filbertbeam::testing
