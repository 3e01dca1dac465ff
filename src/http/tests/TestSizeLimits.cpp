#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingApplication.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

HttpServerLimits
SizeLimits(std::size_t aHeadBytes, std::uint64_t aBodyBytes)
{
  HttpServerLimits limits;
  limits.headBytes = aHeadBytes;
  limits.bodyBytes = aBodyBytes;
  return limits;
}

// Returns the head of a request with a body of aBytes.
std::string
HeadOfUpload(std::size_t aBytes)
{
  return "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n";
}

std::string
Upload(std::size_t aBytes)
{
  return HeadOfUpload(aBytes) + std::string(aBytes, 'x');
}

std::string
GetWithField(std::size_t aBytes)
{
  return "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(aBytes, 'x') +
         "\r\n\r\n";
}

// A caller that has sent a request before the limits change.
struct KeptConnectionFixture : ServerFixture
{
  KeptConnectionFixture()
    : ServerFixture(SizeLimits(1'000, 1'000))
    , caller(server->Port())
  {
    caller.Send(Upload(10));
    BOOST_TEST_REQUIRE(Responses("200") == 1);
  }

  // Returns how many responses with aStatus have arrived, once there is one
  // more than before.
  int Responses(const std::string& aStatus)
  {
    ++expected_;
    WaitUntil([&] { return caller.Count("HTTP/1.1 ") == expected_; });
    return static_cast<int>(caller.Count("HTTP/1.1 " + aStatus));
  }

  RawConnection caller;

private:
  int expected_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SizeLimitsOfAKeptConnection, KeptConnectionFixture)

// Guards against uploads that are refused for good on kept connections, though
// the limit was raised (review/8).
BOOST_AUTO_TEST_CASE(AreRaisedForTheNextRequest)
{
  server->SetLimits(SizeLimits(4'000, 4'000));
  caller.Send(Upload(3'000));
  BOOST_TEST(Responses("200") == 2);
  caller.Send(GetWithField(3'000));
  BOOST_TEST(Responses("200") == 3);
  BOOST_TEST(!caller.isClosed);
}

BOOST_AUTO_TEST_CASE(AreLoweredForTheNextRequest)
{
  server->SetLimits(SizeLimits(500, 500));
  caller.Send(Upload(600));
  BOOST_TEST(Responses("413") == 1);
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
}

BOOST_AUTO_TEST_CASE(AreLoweredForTheNextHead)
{
  server->SetLimits(SizeLimits(500, 500));
  caller.Send(GetWithField(600));
  BOOST_TEST(Responses("431") == 1);
}

// Guards against a request that was within the limits when it began and is cut.
BOOST_AUTO_TEST_CASE(AreKeptForARequestThatHasBegun)
{
  caller.Send(HeadOfUpload(900) + std::string(100, 'x'));
  BOOST_TEST_REQUIRE(
    WaitUntil([&] { return application.sessions.size() == 2U; }));
  server->SetLimits(SizeLimits(50, 500));
  caller.Send(std::string(800, 'x'));
  BOOST_TEST(Responses("200") == 2);
}

BOOST_AUTO_TEST_CASE(AreKeptForAHeadThatHasBegun)
{
  const std::string get = GetWithField(600);
  caller.Send(get.substr(0, 100));
  RunFor(std::chrono::milliseconds(50));
  server->SetLimits(SizeLimits(500, 500));
  caller.Send(get.substr(100));
  BOOST_TEST(Responses("200") == 2);
}

BOOST_AUTO_TEST_SUITE_END()
