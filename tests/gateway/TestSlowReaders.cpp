#include "http/tests/support/RawPeers.h"
#include "platform/standin/StoreStandIn.h"
#include "platform/tests/support/GatewayHost.h"

#include <QFile>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr std::size_t kHostMemory = 112'000'000;
constexpr int kCallers = 400;
constexpr std::size_t kBody = 540'000;
// More than the buffers of a connection hold, so that the host has to keep
// some of it.
constexpr std::size_t kLongBody = 6'000'000;
constexpr std::size_t kPart = 64'000;
// Of a caller; the rest of a response waits at the host.
constexpr int kCallerBuffer = 8'192;

// Resident memory of this process, in bytes.
std::size_t
ResidentMemory()
{
  constexpr std::size_t kPage = 4'096;
  QFile file("/proc/self/statm");
  BOOST_TEST_REQUIRE(file.open(QIODevice::ReadOnly));
  return file.readAll().split(' ').at(1).toULongLong() * kPage;
}

// A caller that asks for a response and reads nothing until it is told to.
struct SlowCaller
{
  SlowCaller(std::uint16_t aPort, int aNumber)
  {
    socket.setReadBufferSize(1);
    // The size of the receive buffer has to be set before the connection.
    socket.bind(QHostAddress(QHostAddress::LocalHost));
    socket.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                           kCallerBuffer);
    socket.connectToHost(QHostAddress(QHostAddress::LocalHost), aPort);
    socket.write(QByteArray("GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\n"
                            "Request-Id: ") +
                 QByteArray::number(aNumber) +
                 "\r\nRequest-Timeout-Ms: 9000\r\n\r\n");
  }

  void Read()
  {
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket, [this] {
      received += socket.readAll();
    });
    socket.setReadBufferSize(0);
    received += socket.readAll();
  }

  bool IsRefused() const { return received.startsWith("HTTP/1.1 503"); }
  bool IsServed(std::size_t aBody) const
  {
    return received.startsWith("HTTP/1.1 200") &&
           received.size() > static_cast<qsizetype>(aBody);
  }

  QTcpSocket socket;
  QByteArray received;
};

// A host of 112 MB with one backend server, whose responses are long.
struct SlowReadersFixture
{
  SlowReadersFixture()
    : store(StoreStandIn::Create({ kLoopback, 0 }, reason))
  {
    store->Write("config", "main", Configuration());
    server.onReceived = [this](RawConnection& aConnection) {
      Respond(aConnection);
    };
    store->Write("servers",
                 "i-1",
                 ServerEntry(server.Address().port),
                 { { "state", "ready" }, { "sequence", 1 } });
    GatewaySettings settings;
    settings.memoryBytes = kHostMemory;
    host = std::make_unique<GatewayHost>(
      "host-1", store->Port(), std::vector<Endpoint>{}, 0, settings);
    BOOST_TEST_REQUIRE(host->WaitUntilReady());
  }

  void Respond(RawConnection& aConnection)
  {
    constexpr std::string_view kField = "Request-Id: ";
    const std::size_t begin = aConnection.received.find(kField) + kField.size();
    const std::string id = aConnection.received.substr(
      begin, aConnection.received.find("\r\n", begin) - begin);
    aConnection.received.clear();
    ++responses;
    QTcpSocket& socket = aConnection.Socket();
    socket.disconnect(&socket, &QTcpSocket::bytesWritten, nullptr, nullptr);
    auto left = std::make_shared<std::size_t>(body);
    QObject::connect(&socket, &QTcpSocket::bytesWritten, &socket, [&, left] {
      SendPart(socket, *left);
    });
    aConnection.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                     "\r\nResponse-Signature: 1\r\nContent-Length: " +
                     std::to_string(body) + "\r\n\r\n");
  }

  // Sends more of a response once what was written before is sent.
  static void SendPart(QTcpSocket& aSocket, std::size_t& aLeft)
  {
    if (aSocket.bytesToWrite() > 0) {
      return;
    }
    const std::size_t size = std::min(aLeft, kPart);
    aLeft -= size;
    aSocket.write(std::string(size, 'x').data(), static_cast<qint64>(size));
  }

  // Number of connections on which the server still has to send.
  std::ptrdiff_t OccupiedSlots() const
  {
    return std::ranges::count_if(
      server.connections, [](const auto& aConnection) {
        return aConnection->Socket().bytesToWrite() > 0;
      });
  }

  // Starts all callers, and returns by how much the memory of this process grew
  // meanwhile.
  std::size_t CallAll()
  {
    const std::size_t before = ResidentMemory();
    std::size_t peak = before;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(
        std::make_unique<SlowCaller>(host->gateway->FrontPort(), i));
      RunFor(5ms);
      peak = std::max(peak, ResidentMemory());
    }
    BOOST_TEST_MESSAGE("responses " << responses << ", memory "
                                    << (peak - before) / 1'000'000 << " MB");
    return peak - before;
  }

  // The callers read what there is for them, one after the other, since the
  // test keeps what they have read.
  void ReadAll()
  {
    for (const auto& caller : callers) {
      caller->Read();
      WaitUntil([&] { return caller->IsRefused() || caller->IsServed(body); },
                5s);
      served += caller->IsServed(body) ? 1 : 0;
      refused += caller->IsRefused() ? 1 : 0;
      caller->received.clear();
    }
    BOOST_TEST_MESSAGE("served " << served << ", refused " << refused);
  }

  std::string reason;
  RawServer server;
  // Of each response.
  std::size_t body = kBody;
  int responses = 0;
  int served = 0;
  int refused = 0;
  std::vector<std::unique_ptr<SlowCaller>> callers;
  std::unique_ptr<StoreStandIn> store;
  std::unique_ptr<GatewayHost> host;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlowReaders, SlowReadersFixture)

// Answers many slow downloads: their responses are read on although nobody
// reads them at the other end, so that the server's slots come free.
BOOST_AUTO_TEST_CASE(KeepNoSlots)
{
  BOOST_TEST(CallAll() < kHostMemory);
  BOOST_TEST(WaitUntil([this] { return OccupiedSlots() == 0; }, 1s));
  ReadAll();
  BOOST_TEST(refused + served == kCallers);
  BOOST_TEST(served == responses);
}

// Answers many slow downloads of more than a connection holds: a small host
// refuses those for which it has no memory before a server runs them.
BOOST_AUTO_TEST_CASE(DoNotExhaustTheMemory)
{
  body = kLongBody;
  BOOST_TEST(CallAll() < kHostMemory);
  BOOST_TEST(responses < kCallers);
  ReadAll();
  BOOST_TEST(refused + served == kCallers);
  BOOST_TEST(served == responses);
}

BOOST_AUTO_TEST_SUITE_END()
