#pragma once

#include "http/HttpMessage.h"

#include <QUdpSocket>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertbeam {

// Sends and receives datagrams on one port. Loss is expected: nothing here
// waits, and what the operating system does not take at once is dropped.
class DatagramSocket
{
public:
  using Handler = std::function<void(const Endpoint&, ByteView)>;

  // Null, with a reason, when the address cannot be bound.
  static std::unique_ptr<DatagramSocket> Create(const Endpoint& aListen,
                                                std::string& aReason);

  void SetHandler(Handler aHandler) { handler_ = std::move(aHandler); }
  Endpoint LocalEndpoint() const;
  // False when the operating system did not take the datagram; it is lost.
  bool Send(const Endpoint& aReceiver, std::string_view aBytes);

private:
  DatagramSocket() = default;
  void ReceiveAll();

  QUdpSocket socket_;
  Handler handler_;
};

} // namespace filbertbeam
