#include "base/SeededRandom.h"
#include "http/HttpRequestParser.h"
#include "http/HttpResponseParser.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingApplication.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr std::uint64_t kSeed = 20260930;

const std::array<std::string, 6> kRequests{
  "GET /a?b=c HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n",
  "HEAD http://h:1/a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
  "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world",
  "POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
  "Content-Length: 3\r\n\r\nabc",
  "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
  "5\r\nhello\r\n6;x=\"y\"\r\n world\r\n0\r\nX-Trailer: z\r\n\r\n",
  "OPTIONS * HTTP/1.1\r\nHost: h\r\nTE: trailers\r\n\r\n"
  "GET /next HTTP/1.1\r\nHost: h\r\n\r\n",
};

const std::array<std::string, 4> kResponses{
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
  "5\r\nhello\r\n0\r\nX: y\r\n\r\n",
  "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nuntil the end",
};

// Fragments that parsers tend to interpret differently.
const std::array<std::string, 16> kFragments{
  "\r\n",
  "\n",
  "\r",
  "\r\n\r\n",
  ":",
  " ",
  "\t",
  ",",
  "0\r\n\r\n",
  ";",
  "-",
  "chunked",
  "\xff",
  "\x7f",
  "Content-Length: 1\r\n",
  "Transfer-Encoding: chunked\r\n",
};

std::string
Mutate(std::string aBytes, Random& aRandom)
{
  const std::uint64_t changes = 1 + aRandom.Below(4);
  for (std::uint64_t i = 0; i < changes; ++i) {
    const std::size_t at = aRandom.Below(aBytes.size() + 1);
    switch (aRandom.Below(6)) {
      case 0:
        if (at < aBytes.size()) {
          aBytes[at] = static_cast<char>(aRandom.Below(256));
        }
        break;
      case 1:
        aBytes.erase(at, 1 + aRandom.Below(8));
        break;
      case 2:
        aBytes.insert(at, kFragments[aRandom.Below(kFragments.size())]);
        break;
      case 3:
        aBytes.insert(at, aBytes.substr(aRandom.Below(at + 1), 40));
        break;
      case 4:
        aBytes.resize(at);
        break;
      default:
        aBytes.insert(
          at, aRandom.Below(2000), static_cast<char>('0' + at % 10));
        break;
    }
  }
  return aBytes;
}

// Passes aBytes to aParser in random pieces, as a connection does. Returns the
// last step; fails if the parser makes no progress or returns bytes that it was
// not given.
template<typename Parser>
HttpParseStep
Feed(Parser& aParser, const std::string& aBytes, Random& aRandom)
{
  std::string input;
  std::size_t given = 0;
  std::size_t delivered = 0;
  // Every step but NeedMore consumes input or ends the message.
  std::size_t stepsLeft = 4 * aBytes.size() + 16;
  HttpParseStep step = HttpParseStep::NeedMore;
  while (stepsLeft-- > 0) {
    std::size_t consumed = 0;
    step = aParser.Parse(input, consumed);
    BOOST_REQUIRE(consumed <= input.size());
    if (step == HttpParseStep::Body) {
      const ByteView body = aParser.Body();
      BOOST_REQUIRE(body.data() >= input.data());
      BOOST_REQUIRE(body.data() + body.size() <= input.data() + input.size());
      delivered += body.size();
      BOOST_REQUIRE(delivered <= given);
    }
    input.erase(0, consumed);
    if (step == HttpParseStep::End || step == HttpParseStep::Failed) {
      return step;
    }
    if (step == HttpParseStep::NeedMore) {
      if (given == aBytes.size()) {
        return step;
      }
      const std::size_t size =
        std::min<std::size_t>(1 + aRandom.Below(64), aBytes.size() - given);
      input.append(aBytes, given, size);
      given += size;
    }
  }
  BOOST_FAIL("the parser makes no progress");
  return step;
}

HttpServerLimits
FuzzLimits()
{
  HttpServerLimits limits;
  limits.headBytes = 4096;
  limits.bodyBytes = 64 * 1024;
  limits.headTimeout = std::chrono::milliseconds(40);
  limits.bodyGrace = std::chrono::milliseconds(40);
  limits.idleTimeout = std::chrono::milliseconds(40);
  return limits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(Fuzz)

// Guards against input that crashes the request parser, makes it loop forever,
// or makes it read beyond its input.
BOOST_AUTO_TEST_CASE(MutatedRequestsAreParsedOrRefused)
{
  constexpr int kIterations = 20'000;
  SeededRandom random(kSeed);
  int refused = 0;
  int whole = 0;
  for (int i = 0; i < kIterations; ++i) {
    const std::string bytes =
      Mutate(kRequests[random.Below(kRequests.size())], random);
    HttpRequestParser parser(4096, 64 * 1024);
    const HttpParseStep step = Feed(parser, bytes, random);
    if (step == HttpParseStep::Failed) {
      ++refused;
      BOOST_REQUIRE(parser.FailureStatus() >= 400);
      BOOST_REQUIRE(!parser.LastReason().empty());
    }
    whole += step == HttpParseStep::End ? 1 : 0;
  }
  // Both results have to occur; otherwise the mutations test only one path.
  BOOST_TEST(refused > kIterations / 10);
  BOOST_TEST(whole > kIterations / 10);
}

// Guards against a parser whose result depends on how the input is split.
BOOST_AUTO_TEST_CASE(TheSplitOfTheInputDoesNotMatter)
{
  constexpr int kIterations = 3'000;
  SeededRandom random(kSeed + 1);
  for (int i = 0; i < kIterations; ++i) {
    const std::string bytes =
      Mutate(kRequests[random.Below(kRequests.size())], random);
    HttpRequestParser one(4096, 64 * 1024);
    HttpRequestParser other(4096, 64 * 1024);
    const HttpParseStep first = Feed(one, bytes, random);
    const HttpParseStep second = Feed(other, bytes, random);
    BOOST_REQUIRE_MESSAGE(first == second,
                          "iteration " << i << " differs for: " << bytes);
    BOOST_REQUIRE(one.FailureStatus() == other.FailureStatus());
  }
}

BOOST_AUTO_TEST_CASE(MutatedResponsesAreParsedOrRefused)
{
  constexpr int kIterations = 20'000;
  SeededRandom random(kSeed + 2);
  int refused = 0;
  int whole = 0;
  for (int i = 0; i < kIterations; ++i) {
    const std::string bytes =
      Mutate(kResponses[random.Below(kResponses.size())], random);
    HttpResponseParser parser(4096);
    parser.Reset(random.Below(8) == 0 ? "HEAD" : "GET");
    HttpParseStep step = Feed(parser, bytes, random);
    if (step == HttpParseStep::NeedMore) {
      step = parser.ParseEndOfInput();
    }
    refused += step == HttpParseStep::Failed ? 1 : 0;
    whole += step == HttpParseStep::End ? 1 : 0;
  }
  BOOST_TEST(refused > kIterations / 10);
  BOOST_TEST(whole > kIterations / 10);
}

// Guards against a connection that gets neither a response nor a close, and
// against exchanges that are left behind, for any input.
BOOST_AUTO_TEST_CASE(EveryConnectionGetsAResponseOrIsClosed)
{
  constexpr int kBatches = 40;
  constexpr int kConnectionsPerBatch = 75;
  SeededRandom random(kSeed + 3);
  ServerFixture fixture(FuzzLimits());
  BOOST_REQUIRE(fixture.server != nullptr);
  std::size_t responses = 0;
  for (int batch = 0; batch < kBatches; ++batch) {
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (int i = 0; i < kConnectionsPerBatch; ++i) {
      const std::string bytes =
        Mutate(kRequests[random.Below(kRequests.size())], random);
      callers.push_back(
        std::make_unique<RawConnection>(fixture.server->Port()));
      // Sends two segments, unless the kernel merges them.
      const std::size_t cut = random.Below(bytes.size() + 1);
      callers.back()->Send(bytes.substr(0, cut));
      callers.back()->Send(bytes.substr(cut));
    }
    BOOST_REQUIRE(WaitUntil([&] {
      return std::all_of(callers.begin(),
                         callers.end(),
                         [](const auto& aCaller) { return aCaller->isClosed; });
    }));
    for (const auto& caller : callers) {
      responses += caller->received.empty() ? 0 : 1;
      BOOST_TEST((caller->received.empty() ||
                  caller->received.starts_with("HTTP/1.1 ")));
    }
    for (const auto& session : fixture.application.sessions) {
      BOOST_TEST(session->closes == 1);
    }
    fixture.application.sessions.clear();
  }
  BOOST_TEST(WaitUntil([&] { return fixture.server->OpenConnections() == 0; }));
  BOOST_TEST(fixture.server->RunningExchanges() == 0);
  BOOST_TEST(responses > std::size_t{ kBatches * kConnectionsPerBatch / 2 });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
