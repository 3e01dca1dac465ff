#include "http/tests/support/EventLoop.h"
#include "membership/DatagramSocket.h"

#include <QNetworkProxy>

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

// Sets a proxy that does not exist, as the environment of a host may do.
struct UnreachableProxy
{
  UnreachableProxy()
  {
    QNetworkProxy::setApplicationProxy(
      { QNetworkProxy::Socks5Proxy, "127.0.0.1", 1 });
  }
  ~UnreachableProxy()
  {
    QNetworkProxy::setApplicationProxy(QNetworkProxy::NoProxy);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DatagramSockets)

// Guards against sending datagrams between hosts through a proxy that the
// environment sets.
BOOST_FIXTURE_TEST_CASE(UseNoProxy, UnreachableProxy)
{
  std::string reason;
  const auto sender = DatagramSocket::Create({ "127.0.0.1", 0 }, reason);
  BOOST_REQUIRE_MESSAGE(sender != nullptr, reason);
  const auto receiver = DatagramSocket::Create({ "127.0.0.1", 0 }, reason);
  BOOST_REQUIRE_MESSAGE(receiver != nullptr, reason);
  std::string received;
  receiver->SetHandler([&](const Endpoint& aSender, ByteView aBytes) {
    BOOST_TEST(aSender.port == sender->LocalEndpoint().port);
    received.assign(aBytes.data(), aBytes.size());
  });
  BOOST_TEST(sender->Send(receiver->LocalEndpoint(), "hello"));
  BOOST_TEST(WaitUntil([&] { return received == "hello"; }));
}

BOOST_AUTO_TEST_SUITE_END()
