#include "base/SeededRandom.h"
#include "http/HttpClient.h"
#include "http/StrayResponseDetector.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingObserver.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

const std::string kStray = "HTTP/1.1 200 OK\r\nId: stray\r\n\r\n";
const std::string kOther = "HTTP/1.1 200 OK\r\nId: other\r\n\r\n";

// What a detector has released, and whether it found a stray response.
struct Examination
{
  std::string released;
  bool isStray = false;

  bool operator==(const Examination&) const = default;
};

std::ostream&
operator<<(std::ostream& aStream, const Examination& aExamination)
{
  return aStream << (aExamination.isStray ? "stray, " : "sound, ")
                 << aExamination.released;
}

// Examines a body that arrives in the given parts.
Examination
Examine(const std::vector<std::string>& aParts,
        std::string_view aFollowing = {},
        bool aIsDoubtful = false)
{
  constexpr std::size_t kHeadLimit = 200;
  StrayResponseDetector detector(kHeadLimit, [](const HttpResponseHead& aHead) {
    return aHead.fields.Find("Id") == "stray";
  });
  detector.Reset(true);
  Examination result;
  const auto release = [&](const std::optional<ByteView>& aBytes) {
    result.isStray = !aBytes;
    if (aBytes) {
      result.released.append(aBytes->data(), aBytes->size());
    }
    return aBytes.has_value();
  };
  for (const std::string& part : aParts) {
    if (!release(detector.Examine(part))) {
      return result;
    }
  }
  using Ending = StrayResponseDetector::Ending;
  release(detector.Finish({ aFollowing.data(), aFollowing.size() },
                          aIsDoubtful ? Ending::Doubtful : Ending::Certain));
  return result;
}

// One client and one server whose bytes the test sends.
struct StrayBytesFixture
{
  std::shared_ptr<RecordingObserver> Exchange(const char* aMethod = "GET")
  {
    HttpRequestHead head;
    head.method = aMethod;
    head.target = "/";
    auto observer = std::make_shared<RecordingObserver>();
    client->Start(server.Address(), head, {}, observer);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    return observer;
  }

  void RespondWith(const std::string& aResponse)
  {
    const auto respond = [aResponse](RawConnection& aConnection) {
      if (aConnection.received.ends_with("\r\n\r\n")) {
        aConnection.Send(aResponse);
      }
    };
    server.onReceived = respond;
    for (const auto& connection : server.connections) {
      connection->onReceived = respond;
    }
  }

  std::size_t Connections() const { return server.connections.size(); }

  static HttpClientLimits Limits()
  {
    HttpClientLimits limits;
    limits.strayBytesMemory = kMemory;
    return limits;
  }

  static constexpr std::chrono::milliseconds kMemory{ 300 };
  static inline const std::string kOk =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  RawServer server;
  std::vector<StrayBytes> reports;
  std::unique_ptr<HttpClient> client =
    HttpClient::Create(Limits(), [this](const StrayBytes& aBytes) {
      reports.push_back(aBytes);
    });
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(ABodyThatIsExamined)

BOOST_AUTO_TEST_CASE(IsReleasedAsItIs)
{
  for (const std::string& body :
       { std::string(),
         std::string("text"),
         std::string("HTTP/1."),
         "a" + kOther + "b",
         kOther + kOther,
         std::string("HTTP/1.1 200 OK"),
         std::string("HTTP/1.1 200 OK\r\nno field\r\n\r\n"),
         "X: HTTP/1.1 " + std::string(500, 'x') + "\r\n" }) {
    BOOST_TEST(Examine({ body }) == (Examination{ body, false }));
  }
}

BOOST_AUTO_TEST_CASE(IsReleasedUpToAStrayResponse)
{
  BOOST_TEST(Examine({ kStray }).isStray);
  BOOST_TEST(Examine({ "a" + kStray + "b" }).isStray);
  BOOST_TEST(Examine({ "a", kStray }) == (Examination{ "a", true }));
  BOOST_TEST(Examine({ kOther, kStray }) == (Examination{ kOther, true }));
}

// A copy can follow bytes that begin a head as well.
BOOST_AUTO_TEST_CASE(MayHoldAnotherHeadThatFailsBefore)
{
  BOOST_TEST(Examine({ "HTTP/1.1 200 OK\r\n" + kStray }).isStray);
  BOOST_TEST(Examine({ "HTTP/1." + kStray }).isStray);
  BOOST_TEST(
    Examine({ "HTTHTTP/1.1 200 OK\r\nA: b\r\nbad\r\n" + kStray }).isStray);
  BOOST_TEST(Examine({ "HTTP/1.1 200 OK\r\nA: " + kStray }).isStray);
}

// The fields before a copy are not its own.
BOOST_AUTO_TEST_CASE(MayHoldAStrayHeadWithinAFieldOfAnother)
{
  BOOST_TEST(Examine({ "HTTP/1.1 200 OK\r\nId: ot" + kStray }).isStray);
  BOOST_TEST(Examine({ "HTTP/1.1 200 OK\r\nId: ot", kStray }).isStray);
}

// Guards against a response that is delivered as if it were complete although
// its last bytes are the first of a copy.
BOOST_AUTO_TEST_CASE(MayEndWithinAStrayHead)
{
  for (std::size_t size = 1; size < kStray.size(); ++size) {
    const auto examination =
      Examine({ "body" + kStray.substr(0, size) }, kStray.substr(size));
    BOOST_TEST(examination == (Examination{ "body", true }));
  }
}

// A head behind the body is no part of it.
BOOST_AUTO_TEST_CASE(IsNotLongerThanItsLength)
{
  BOOST_TEST(Examine({ "body" }, kStray) == (Examination{ "body", false }));
  BOOST_TEST(Examine({ kOther }, kStray) == (Examination{ kOther, false }));
}

BOOST_AUTO_TEST_CASE(IsDoubtfulWithAnIncompleteHeadAtItsEnd)
{
  const std::string body = "body HTTP/1.1 200 O";
  BOOST_TEST(!Examine({ body }).isStray);
  BOOST_TEST(Examine({ body }, {}, true).isStray);
  // No status line follows the name of the protocol.
  for (const char* end :
       { "HTTP", "GET / HTTP/1.1", "\"HTTP/1.1\",2", "HTTP/1.1 20" }) {
    BOOST_TEST(!Examine({ end }, {}, true).isStray);
  }
}

// Guards against a result that depends on how the network divides the bytes.
BOOST_AUTO_TEST_CASE(GivesTheSameResultInAnyParts)
{
  const std::vector<std::string> pieces{
    "text", "H",    "HTTP/1.", "HTTP/1.1 200 OK\r\n", "A: b\r\n",
    "\r\n", kOther, kStray,    "Id: stray\r\n",       std::string(150, 'x')
  };
  SeededRandom random(11);
  constexpr int kBodies = 3'000;
  int strays = 0;
  for (int i = 0; i < kBodies; ++i) {
    std::string body;
    for (auto count = 1 + random.Below(8); count > 0; --count) {
      body += pieces[random.Below(pieces.size())];
    }
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t size = 1 + random.Below(random.Below(2) == 0 ? 4 : 60);
      parts.push_back(body.substr(at, size));
      at += size;
    }
    const auto whole = Examine({ body });
    const auto divided = Examine(parts);
    BOOST_TEST(divided.isStray == whole.isStray, body);
    if (whole.isStray) {
      ++strays;
      BOOST_TEST(body.starts_with(divided.released));
    } else {
      BOOST_TEST(divided.released == body);
    }
  }
  BOOST_TEST(strays > 0);
  BOOST_TEST(strays < kBodies);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AServerThatSendsStrayBytes, StrayBytesFixture)

// Guards against further copies, of which a server that has sent one may have
// more: they would reach the next exchanges on its connections.
BOOST_AUTO_TEST_CASE(GetsANewConnectionForEachExchangeForAWhile)
{
  RespondWith(kOk);
  Exchange();
  Exchange();
  BOOST_TEST(Connections() == 1U);
  server.connections[0]->Send(kOk);
  BOOST_TEST(WaitUntil([&] { return !reports.empty(); }));
  BOOST_TEST((reports[0].place == StrayBytesPlace::Idle));
  BOOST_TEST(reports[0].use.exchangeNumber == 2U);
  Exchange();
  Exchange();
  BOOST_TEST(Connections() == 3U);
  RunFor(kMemory);
  Exchange();
  Exchange();
  BOOST_TEST(Connections() == 4U);
}

BOOST_AUTO_TEST_CASE(IsReportedOnceForBytesBehindAResponse)
{
  RespondWith(kOk + kOk);
  BOOST_TEST(Exchange()->body == "ok");
  BOOST_TEST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].place == StrayBytesPlace::AfterResponse));
  BOOST_TEST(reports[0].server.port == server.Address().port);
}

// Guards against the idle connections that a server had before.
BOOST_AUTO_TEST_CASE(LosesItsOtherIdleConnections)
{
  // Two exchanges at the same time take two connections.
  auto first = std::make_shared<RecordingObserver>();
  auto second = std::make_shared<RecordingObserver>();
  HttpRequestHead head;
  head.method = "GET";
  head.target = "/";
  RespondWith(kOk);
  client->Start(server.Address(), head, {}, first);
  client->Start(server.Address(), head, {}, second);
  BOOST_TEST(WaitUntil([&] { return first->IsOver() && second->IsOver(); }));
  BOOST_TEST(client->OpenConnections(server.Address()) == 2);
  server.connections[0]->Send(kOk);
  BOOST_TEST(
    WaitUntil([&] { return client->OpenConnections(server.Address()) == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AConnectionThatCarriedHead, StrayBytesFixture)

// Guards against a late copy of a response to HEAD, whose length would be taken
// for that of a body: the next response would be read as this body.
BOOST_AUTO_TEST_CASE(IsNotUsedAgain)
{
  RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
  BOOST_TEST(Exchange("HEAD")->ends == 1);
  RespondWith(kOk);
  BOOST_TEST(Exchange()->body == "ok");
  BOOST_TEST(Connections() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AHeadThatIsBrokenOff, StrayBytesFixture)

// Guards against sound responses that are lost: a field tells of the status of
// another server.
BOOST_AUTO_TEST_CASE(IsNotOneWithAStatusLineInAField)
{
  HttpResponseHead head;
  head.fields.Add("X-Upstream", "HTTP/1.1 200 OK");
  BOOST_TEST(!HasResponseWithin(head, false));
  BOOST_TEST(HasResponseWithin(head, true));
  head.fields.Add("X-Route", "a HTTP/1.1 200 OK");
  BOOST_TEST(HasResponseWithin(head, false));
}

// Guards against a success whose other fields are those of a later failure: a
// server breaks off within the head and then sends another response.
BOOST_AUTO_TEST_CASE(IsNoResponseWithTheHeadOfALaterOne)
{
  for (const char* begin : { "HTTP/1.1 200 ",
                             "HTTP/1.1 200 O",
                             "HTTP/1.1 200 OK\r\nA: b",
                             "HTTP/1.1 200 OK\r\nA: HTTP/1." }) {
    RespondWith(std::string(begin) +
                "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
    HttpRequestHead head;
    head.method = "GET";
    head.target = "/";
    HttpClientOptions options;
    options.requestId = "1";
    const auto observer = std::make_shared<RecordingObserver>();
    client->Start(server.Address(), head, options, observer);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    BOOST_TEST(observer->ends == 0, begin);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
