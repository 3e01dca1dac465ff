#pragma once

#include "http/HttpMessage.h"

#include <QUdpSocket>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertbeam {

// Sends and receives datagrams on one port. Losses are expected: nothing here
// waits, and a datagram that the operating system does not accept at once is
// dropped.
class DatagramSocket
{
public:
  using Handler = std::function<void(const Endpoint&, ByteView)>;

  // Returns null and fills aReason when the address cannot be bound.
  static std::unique_ptr<DatagramSocket> Create(const Endpoint& aListen,
                                                std::string& aReason);

  void SetHandler(Handler aHandler) { handler_ = std::move(aHandler); }
  Endpoint LocalEndpoint() const;
  // Returns false when the operating system did not accept the datagram, which
  // is then lost.
  bool Send(const Endpoint& aReceiver, std::string_view aBytes);

private:
  DatagramSocket() = default;
  void ReceiveAll();

  QUdpSocket socket_;
  Handler handler_;
};

} // namespace filbertbeam
