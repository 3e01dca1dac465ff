#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingApplication.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include <sys/resource.h>
#include <unistd.h>

#include <ostream>
#include <thread>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::string
Post(std::string_view aFields, std::string_view aBody = "")
{
  return "POST /p HTTP/1.1\r\nHost: h\r\n" + std::string(aFields) + "\r\n" +
         std::string(aBody);
}

std::string
Chunked(std::string_view aBody)
{
  return Post("Transfer-Encoding: chunked\r\n", aBody);
}

int
StatusOf(const std::string& aResponse)
{
  constexpr std::size_t kStatusAt = 9;
  return aResponse.size() > kStatusAt + 3
           ? std::atoi(aResponse.substr(kStatusAt, 3).c_str())
           : 0;
}

std::string
BodyOf(const std::string& aResponse)
{
  const auto end = aResponse.find("\r\n\r\n");
  return end == std::string::npos ? "" : aResponse.substr(end + 4);
}

std::string
OutcomeOf(const std::string& aResponse)
{
  return QJsonDocument::fromJson(QByteArray::fromStdString(BodyOf(aResponse)))
    .object()
    .value("outcome")
    .toString()
    .toStdString();
}

HttpServerLimits
SmallSizeLimits()
{
  HttpServerLimits limits;
  limits.headBytes = 1024;
  limits.bodyBytes = 1000;
  return limits;
}

HttpServerLimits
ShortTimeLimits()
{
  HttpServerLimits limits;
  limits.headTimeout = std::chrono::milliseconds(100);
  limits.bodyGrace = std::chrono::milliseconds(100);
  limits.idleTimeout = std::chrono::milliseconds(150);
  return limits;
}

struct SmallSizeLimitsFixture : ServerFixture
{
  SmallSizeLimitsFixture()
    : ServerFixture(SmallSizeLimits())
  {
  }
};

struct ShortTimeLimitsFixture : ServerFixture
{
  ShortTimeLimitsFixture()
    : ServerFixture(ShortTimeLimits())
  {
  }
};

HttpServerLimits
LimitsShorterThanASuspension()
{
  HttpServerLimits limits;
  limits.headTimeout = std::chrono::milliseconds(300);
  limits.bodyGrace = std::chrono::milliseconds(300);
  limits.idleTimeout = std::chrono::milliseconds(300);
  return limits;
}

// A host that is suspended for longer than the time limits while it handles an
// event, so that its timers are due before it can read what has arrived.
struct SuspendedHostFixture : ServerFixture
{
  SuspendedHostFixture()
    : ServerFixture(LimitsShorterThanASuspension())
    , caller(server->Port())
    , other(server->Port())
  {
  }

  // Suspends the host; aBytes of the caller arrive meanwhile.
  void SuspendWhileArriving(std::string_view aBytes)
  {
    const std::size_t before = application.sessions.size();
    application.onRequest = [&](RecordingSession&) {
      caller.Send(aBytes);
      caller.Socket().flush();
      std::this_thread::sleep_for(std::chrono::milliseconds(900));
    };
    other.Send(kGet);
    BOOST_TEST_REQUIRE(
      WaitUntil([&] { return application.sessions.size() > before; }));
    application.onRequest = nullptr;
  }

  RawConnection caller;
  RawConnection other;
};

struct BadInput
{
  const char* name;
  std::string bytes;
  int status;
  // The head is valid, so the application receives the request.
  bool isSeen = false;
};

std::ostream&
operator<<(std::ostream& aStream, const BadInput& aInput)
{
  return aStream << aInput.name;
}

const std::vector<BadInput> kBadInputs{
  { "oversized head",
    "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
    431 },
  { "oversized head without an end", "GET /" + std::string(2000, 'x'), 431 },
  { "oversized body", Post("Content-Length: 1001\r\n"), 413 },
  { "oversized chunked body",
    Chunked("3e9\r\n" + std::string(1001, 'x') + "\r\n0\r\n\r\n"),
    413,
    true },
  { "many chunks that are too large together",
    Chunked("258\r\n" + std::string(600, 'x') + "\r\n258\r\n" +
            std::string(600, 'x') + "\r\n0\r\n\r\n"),
    413,
    true },
  { "Content-Length with Transfer-Encoding",
    Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
    400 },
  { "Transfer-Encoding with Content-Length",
    Post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"),
    400 },
  { "repeated Content-Length",
    Post("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"),
    400 },
  { "two Content-Lengths",
    Post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"),
    400 },
  { "list of Content-Lengths", Post("Content-Length: 5, 5\r\n", "hello"), 400 },
  { "Content-Length with a sign",
    Post("Content-Length: +5\r\n", "hello"),
    400 },
  { "negative Content-Length", Post("Content-Length: -5\r\n", "hello"), 400 },
  { "hexadecimal Content-Length",
    Post("Content-Length: 0x5\r\n", "hello"),
    400 },
  { "empty Content-Length", Post("Content-Length:\r\n"), 400 },
  { "Content-Length that overflows",
    Post("Content-Length: 18446744073709551621\r\n", "hello"),
    400 },
  { "unknown transfer coding", Post("Transfer-Encoding: gzip\r\n"), 501 },
  { "unknown coding before chunked",
    Post("Transfer-Encoding: gzip, chunked\r\n"),
    501 },
  { "identity coding", Post("Transfer-Encoding: identity\r\n"), 501 },
  { "repeated chunked coding",
    Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
    400 },
  { "chunked coding twice in a list",
    Post("Transfer-Encoding: chunked, chunked\r\n"),
    400 },
  { "empty Transfer-Encoding", Post("Transfer-Encoding:\r\n"), 400 },
  { "chunk size without digits", Chunked("x\r\n"), 400, true },
  { "empty chunk size", Chunked("\r\n"), 400, true },
  { "chunk size with a sign", Chunked("+1\r\na\r\n0\r\n\r\n"), 400, true },
  { "chunk size with a prefix", Chunked("0x1\r\na\r\n0\r\n\r\n"), 400, true },
  { "chunk size with a leading space",
    Chunked(" 1\r\na\r\n0\r\n\r\n"),
    400,
    true },
  { "chunk size that overflows",
    Chunked("10000000000000001\r\na\r\n0\r\n\r\n"),
    400,
    true },
  { "chunk line with a bare LF", Chunked("1\na\r\n0\r\n\r\n"), 400, true },
  { "chunk extension with a bare LF",
    Chunked("1;x\n\r\na\r\n0\r\n\r\n"),
    400,
    true },
  { "chunk extension with a control character",
    Chunked(std::string("1;x=\x01\r\na\r\n0\r\n\r\n")),
    400,
    true },
  { "chunk without its end", Chunked("1\r\nab\r\n0\r\n\r\n"), 400, true },
  { "chunk that ends with a bare LF", Chunked("1\r\na\n0\r\n\r\n"), 400, true },
  { "chunk extension without end",
    Chunked("1;" + std::string(10'000, 'x')),
    400,
    true },
  { "trailer without end",
    Chunked("0\r\nX: " + std::string(10'000, 'x')),
    400,
    true },
  { "trailer that is no field", Chunked("0\r\nno field\r\n\r\n"), 400, true },
  { "trailer with a bare LF", Chunked("0\r\nX: a\nY: b\r\n\r\n"), 400, true },
  { "trailer with whitespace before the colon",
    Chunked("0\r\nX : a\r\n\r\n"),
    400,
    true },
  { "method with a forbidden character",
    "G@T / HTTP/1.1\r\nHost: h\r\n\r\n",
    400 },
  { "empty method", " / HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "long method",
    std::string(40, 'M') + " / HTTP/1.1\r\nHost: h\r\n\r\n",
    501 },
  { "CONNECT", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 501 },
  { "target without a slash", "GET a HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "no target", "GET HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "target with a space", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "target with a tab", "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "target with a fragment", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "target with a high byte", "GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "asterisk for GET", "GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "unknown scheme", "GET ftp://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "absolute form with user information",
    "GET http://u@h/ HTTP/1.1\r\nHost: h\r\n\r\n",
    400 },
  { "HTTP/1.0", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", 505 },
  { "HTTP/1.2", "GET / HTTP/1.2\r\nHost: h\r\n\r\n", 505 },
  { "no version", "GET /\r\nHost: h\r\n\r\n", 400 },
  { "wrong protocol name", "GET / HTTQ/1.1\r\nHost: h\r\n\r\n", 400 },
  { "no Host", "GET / HTTP/1.1\r\n\r\n", 400 },
  { "two Hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400 },
  { "Host with a path", "GET / HTTP/1.1\r\nHost: h/i\r\n\r\n", 400 },
  { "bare LF after the request line", "GET / HTTP/1.1\nHost: h\r\n\r\n", 400 },
  { "bare LF after a field", "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", 400 },
  { "bare LF at the end", "GET / HTTP/1.1\r\nHost: h\r\n\n", 400 },
  { "bare CR in a value", "GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n", 400 },
  { "NUL in a value",
    std::string("GET / HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n", 35),
    400 },
  { "whitespace before a colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400 },
  { "tab before a colon", "GET / HTTP/1.1\r\nHost\t: h\r\n\r\n", 400 },
  { "folded line", "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400 },
  { "whitespace before the first field",
    "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
    400 },
  { "field without a colon", "GET / HTTP/1.1\r\nHost: h\r\nX\r\n\r\n", 400 },
  { "field without a name", "GET / HTTP/1.1\r\nHost: h\r\n: x\r\n\r\n", 400 },
  { "two empty lines first", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
  { "unknown expectation",
    Post("Expect: magic\r\nContent-Length: 1\r\n"),
    417 },
  { "TLS",
    std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n", 12),
    400 },
};

const std::vector<std::string> kGoodChunkedBodies{
  "5\r\nhello\r\n0\r\n\r\n",
  "1\r\nh\r\n4\r\nello\r\n0\r\n\r\n",
  "00005\r\nhello\r\n000\r\n\r\n",
  "5;name=value\r\nhello\r\n0;last\r\n\r\n",
  "5\r\nhello\r\n0\r\nX-Trailer: a\r\n\r\n",
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(Server)

BOOST_FIXTURE_TEST_SUITE(BadRequests, SmallSizeLimitsFixture)

// Guards against input that another parser would frame or interpret differently
// (request smuggling), and against requests of unbounded cost.
BOOST_DATA_TEST_CASE_F(SmallSizeLimitsFixture,
                       BadInputGetsAnErrorResponseAndTheConnectionCloses,
                       boost::unit_test::data::make(kBadInputs),
                       input)
{
  RawConnection caller(server->Port());
  caller.Send(input.bytes);
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == input.status);
  BOOST_TEST(caller.Count("HTTP/1.1 ") == 1);
  BOOST_TEST(caller.Count("Content-Type: application/problem+json\r\n") == 1);
  BOOST_TEST(caller.Count("Connection: close\r\n") == 1);
  BOOST_TEST(OutcomeOf(caller.received) ==
             (input.isSeen ? "unknown" : "not-run"));
  BOOST_TEST(application.sessions.size() == (input.isSeen ? 1U : 0U));
  for (const auto& session : application.sessions) {
    BOOST_TEST(session->ends == 0);
    BOOST_TEST(session->closes == 1);
    BOOST_TEST(!session->isComplete);
  }
  BOOST_TEST(WaitUntil([&] { return server->OpenConnections() == 0; }));
}

// Guards against checks that reject valid input.
BOOST_DATA_TEST_CASE_F(SmallSizeLimitsFixture,
                       ValidChunkedBodiesAreDecoded,
                       boost::unit_test::data::make(kGoodChunkedBodies),
                       body)
{
  RawConnection caller(server->Port());
  caller.Send(Chunked(body) + kGet);
  BOOST_TEST(WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 2; }));
  BOOST_TEST(application.sessions.at(0)->body == "hello");
  BOOST_TEST(!application.sessions.at(0)->head.fields.Find("X-Trailer"));
}

// Guards against results that depend on how the bytes are split into segments.
BOOST_AUTO_TEST_CASE(ARequestMayArriveByteByByte)
{
  RawConnection caller(server->Port());
  BOOST_TEST(WaitUntil([&] { return server->OpenConnections() == 1; }));
  for (const char byte :
       Chunked("5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n") + kGet) {
    caller.Send({ &byte, 1 });
    caller.Socket().flush();
    QCoreApplication::processEvents();
  }
  BOOST_TEST(WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 2; }));
  BOOST_TEST(application.sessions.at(0)->body == "hello");
}

// Guards against a target that the routing code interprets in another way than
// the parser.
BOOST_AUTO_TEST_CASE(TheAbsoluteFormBecomesHostAndPath)
{
  RawConnection caller(server->Port());
  caller.Send("GET http://example.test:81?q HTTP/1.1\r\nHost: other\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return application.sessions.size() == 1; }));
  BOOST_TEST(application.sessions.at(0)->head.target == "/?q");
  BOOST_TEST(application.sessions.at(0)->head.fields.Find("Host").value() ==
             "example.test:81");
}

// Guards against hop-by-hop fields that reach the application.
BOOST_AUTO_TEST_CASE(FramingAndConnectionFieldsAreNotAmongTheFields)
{
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 2\r\nConnection: keep-alive, x-a\r\n"
                   "X-A: 1\r\nX-B: 2\r\nTE: trailers\r\n",
                   "hi"));
  BOOST_TEST(WaitUntil([&] { return application.sessions.size() == 1; }));
  const HttpRequestHead& head = application.sessions.at(0)->head;
  BOOST_TEST(head.fields.All().size() == 2U);
  BOOST_TEST(head.fields.Find("X-B").value() == "2");
  BOOST_TEST((head.framing == BodyFraming::Length));
  BOOST_TEST(head.contentLength == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Limits, ShortTimeLimitsFixture)

// Guards against connections that hold resources without making progress.
BOOST_AUTO_TEST_CASE(ASlowHeadIsAnswered408)
{
  RawConnection caller(server->Port());
  caller.Send("GET / HTTP/1.1\r\nHost:");
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 408);
  BOOST_TEST(OutcomeOf(caller.received) == "not-run");
}

BOOST_AUTO_TEST_CASE(ASlowHeadAfterARequestIsAnswered408)
{
  RawConnection caller(server->Port());
  caller.Send(kGet + "GET ");
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.Count("HTTP/1.1 200") == 1);
  BOOST_TEST(caller.Count("HTTP/1.1 408") == 1);
}

BOOST_AUTO_TEST_SUITE(ASlowBody)

// Guards against the promise of 408 for a request of which the application may
// have passed a part on.
BOOST_AUTO_TEST_CASE(
  IsAnswered504WithUnknownOutcomeUnlessTheApplicationResponds)
{
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 100\r\n", "a"));
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 504);
  BOOST_TEST(OutcomeOf(caller.received) == "unknown");
  BOOST_TEST(caller.Count("HTTP/1.1 ") == 1);
  BOOST_TEST(caller.Count("Connection: close\r\n") == 1);
  const RecordingSession& session = *application.sessions.at(0);
  BOOST_TEST(session.failures == 1);
  BOOST_TEST(session.ends == 0);
  BOOST_TEST(session.closes == 1);
  BOOST_TEST(!session.isComplete);
}

// Guards against an uncertain response to a request that the application has
// kept back.
BOOST_AUTO_TEST_CASE(IsAnswered408IfTheApplicationSaysThatItHasNotRun)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.onFailed = [](RecordingSession& aFailed,
                           const RequestFailure& aFailure) {
      aFailed.Respond(aFailure.reason, aFailure.statusIfNotRun);
    };
  };
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 100\r\n", "a"));
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 408);
  BOOST_TEST(BodyOf(caller.received) == "the request body arrives too slowly");
  BOOST_TEST(caller.Count("HTTP/1.1 ") == 1);
  BOOST_TEST(caller.Count("Connection: close\r\n") == 1);
  const RecordingSession& session = *application.sessions.at(0);
  BOOST_TEST(session.failures == 1);
  BOOST_TEST(session.closes == 1);
  BOOST_TEST(session.isComplete);
}

// Guards against an application that gets the rest of a body, and could pass it
// on, after the request has been given up.
BOOST_AUTO_TEST_CASE(IsNotReadOnAfterItsResponse)
{
  RawConnection caller(server->Port());
  caller.onReceived = [](RawConnection& aCaller) {
    aCaller.Send(std::string(99, 'b') + kGet);
  };
  caller.Send(Post("Content-Length: 100\r\n", "a"));
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(application.sessions.size() == 1U);
  BOOST_TEST(application.sessions.at(0)->body == "a");
  BOOST_TEST(application.sessions.at(0)->ends == 0);
}

// Guards against a second response within the first.
BOOST_AUTO_TEST_CASE(ClosesTheConnectionIfTheResponseHasBegun)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.onBody = [](RecordingSession& aArriving) {
      HttpResponseHead head;
      head.status = 200;
      head.framing = BodyFraming::Chunked;
      aArriving.exchange->SendHead(head);
    };
  };
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 100\r\n", "a"));
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 200);
  BOOST_TEST(BodyOf(caller.received).empty());
  const RecordingSession& session = *application.sessions.at(0);
  BOOST_TEST(session.failures == 1);
  BOOST_TEST(session.closes == 1);
  BOOST_TEST(!session.isComplete);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an application that is not told why a body ends, and against a
// response that does not say what it knows.
BOOST_AUTO_TEST_CASE(AnInvalidBodyIsAnsweredByTheApplication)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.onFailed = [](RecordingSession& aFailed,
                           const RequestFailure& aFailure) {
      BOOST_TEST(aFailure.statusIfNotRun == 400);
      BOOST_TEST(aFailure.statusIfUnknown == 400);
      aFailed.Respond("not passed on", aFailure.statusIfNotRun);
    };
  };
  RawConnection caller(server->Port());
  caller.Send(Chunked("1\r\na\r\nx\r\n"));
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 400);
  BOOST_TEST(BodyOf(caller.received) == "not passed on");
  BOOST_TEST(application.sessions.at(0)->failures == 1);
}

// Guards against a timeout for a caller whose body the application has paused.
BOOST_AUTO_TEST_CASE(APausedBodyIsNotSlow)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.exchange->PauseRequestBody();
  };
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 5\r\n", "hello"));
  RunFor(std::chrono::milliseconds(400));
  BOOST_TEST(!caller.isClosed);
  BOOST_REQUIRE(application.sessions.size() == 1U);
  BOOST_TEST(application.sessions[0]->bodyBytes == 0U);
  application.sessions[0]->exchange->ResumeRequestBody();
  BOOST_TEST(application.sessions[0]->bodyBytes == 0U);
  BOOST_TEST(WaitUntil([&] { return caller.Count("/phello") == 1; }));
}

BOOST_AUTO_TEST_CASE(ASlowReaderIsDisconnected)
{
  application.onEnd = [](RecordingSession& aSession) {
    aSession.Respond(std::string(64 * 1024 * 1024, 'x'));
  };
  RawConnection caller(server->Port(), 1024);
  caller.isReading = false;
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] {
    return application.sessions.size() == 1 &&
           application.sessions[0]->closes == 1;
  }));
  BOOST_TEST(!application.sessions[0]->isComplete);
}

BOOST_AUTO_TEST_CASE(AnIdleConnectionIsClosed)
{
  RawConnection unused(server->Port());
  RawConnection used(server->Port());
  used.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return unused.isClosed && used.isClosed; }));
  BOOST_TEST(unused.received.empty());
  BOOST_TEST(used.Count("HTTP/1.1 ") == 1);
}

// Guards against a slow application that is mistaken for a slow caller.
BOOST_AUTO_TEST_CASE(AConnectionThatWaitsForItsResponseIsNotIdle)
{
  application.onEnd = nullptr;
  RawConnection caller(server->Port());
  caller.Send(kGet);
  RunFor(std::chrono::milliseconds(400));
  BOOST_REQUIRE(application.sessions.size() == 1U);
  BOOST_TEST(!caller.isClosed);
  application.sessions[0]->Respond("late");
  BOOST_TEST(WaitUntil([&] { return caller.Count("late") == 1; }));
}

// Guards against a server that never accepts again after accept failed once,
// here because no file descriptor is left.
BOOST_AUTO_TEST_CASE(AFailedAcceptIsRetried)
{
  const int next = ::dup(0);
  BOOST_REQUIRE(next >= 0);
  ::close(next);
  rlimit usual{};
  BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &usual) == 0);
  // Leaves one descriptor, which the caller's socket uses.
  const rlimit scarce{ static_cast<rlim_t>(next) + 1, usual.rlim_max };
  BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &scarce) == 0);
  RawConnection caller(server->Port());
  caller.Send(kGet);
  RunFor(std::chrono::milliseconds(100));
  const int openWhileScarce = server->OpenConnections();
  BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &usual) == 0);
  BOOST_TEST(openWhileScarce == 0);
  BOOST_TEST(WaitUntil([&] { return StatusOf(caller.received) == 200; }));
}

BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitAreRefused)
{
  HttpServerLimits limits;
  limits.connections = 2;
  ServerFixture small(limits);
  RawConnection first(small.server->Port());
  RawConnection second(small.server->Port());
  BOOST_TEST(WaitUntil([&] { return small.server->OpenConnections() == 2; }));
  RawConnection third(small.server->Port());
  BOOST_TEST(WaitUntil([&] { return third.isClosed; }));
  BOOST_TEST(StatusOf(third.received) == 503);
  BOOST_TEST(OutcomeOf(third.received) == "not-run");
  first.Close();
  BOOST_TEST(WaitUntil([&] { return small.server->OpenConnections() == 1; }));
  RawConnection fourth(small.server->Port());
  fourth.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return StatusOf(fourth.received) == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AfterASuspensionOfTheHost, SuspendedHostFixture)

// Guards against a caller that is taken for a slow one because the host itself
// did not read what had arrived.
BOOST_AUTO_TEST_CASE(ABodyThatHasArrivedIsRead)
{
  caller.Send(Post("Content-Length: 2000\r\n", "a"));
  BOOST_TEST_REQUIRE(WaitUntil([&] {
    return !application.sessions.empty() &&
           application.sessions[0]->bodyBytes == 1;
  }));
  RunFor(std::chrono::milliseconds(100));
  SuspendWhileArriving(std::string(1999, 'a'));
  BOOST_TEST(WaitUntil([&] { return !caller.received.empty(); }));
  BOOST_TEST(StatusOf(caller.received) == 200, caller.received);
}

BOOST_AUTO_TEST_CASE(AHeadThatHasArrivedIsRead)
{
  caller.Send("GET /a HTTP/1.1\r\n");
  BOOST_TEST_REQUIRE(WaitUntil([&] { return server->OpenConnections() == 2; }));
  RunFor(std::chrono::milliseconds(50));
  SuspendWhileArriving("Host: h\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return !caller.received.empty(); }));
  BOOST_TEST(StatusOf(caller.received) == 200, caller.received);
}

BOOST_AUTO_TEST_CASE(ARequestThatHasArrivedOnAnIdleConnectionIsRead)
{
  caller.Send(kGet);
  BOOST_TEST_REQUIRE(
    WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 1; }));
  SuspendWhileArriving(kGet);
  BOOST_TEST(WaitUntil(
    [&] { return caller.Count("HTTP/1.1 200") == 2 || caller.isClosed; }));
  BOOST_TEST(caller.Count("HTTP/1.1 200") == 2);
}

// Guards against time limits that no longer hold after a suspension.
BOOST_AUTO_TEST_CASE(ACallerThatSendsNothingIsStillRefused)
{
  caller.Send(Post("Content-Length: 2000\r\n", "a"));
  BOOST_TEST_REQUIRE(WaitUntil([&] {
    return !application.sessions.empty() &&
           application.sessions[0]->bodyBytes == 1;
  }));
  RunFor(std::chrono::milliseconds(100));
  SuspendWhileArriving("a");
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 504);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Exchanges, ServerFixture)

// Guards against responses in another order than the requests when a later one
// is ready first.
BOOST_AUTO_TEST_CASE(PipelinedRequestsGetResponsesInOrder)
{
  RawConnection caller(server->Port());
  std::string requests;
  std::string expected;
  for (int i = 0; i < 50; ++i) {
    const std::string target = "/" + std::to_string(i) + ";";
    requests += i % 2 == 0 ? "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"
                           : "PUT " + target +
                               " HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "1\r\n,\r\n0\r\n\r\n";
    expected += target + (i % 2 == 0 ? "" : ",");
  }
  caller.Send(requests);
  BOOST_TEST(WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 50; }));
  std::string bodies;
  for (std::size_t at = caller.received.find("\r\n\r\n");
       at != std::string::npos;
       at = caller.received.find("\r\n\r\n", at)) {
    at += 4;
    bodies +=
      caller.received.substr(at, caller.received.find("HTTP/1.1", at) - at);
  }
  BOOST_TEST(bodies == expected);
}

// Guards against a second request that starts before the first has its
// response: a connection carries one exchange at a time, unless the application
// allows concurrent requests.
BOOST_AUTO_TEST_CASE(APipelinedRequestWaitsForTheFirstResponse)
{
  application.onEnd = nullptr;
  RawConnection caller(server->Port());
  caller.Send(kGet + kGet);
  RunFor(std::chrono::milliseconds(50));
  BOOST_REQUIRE(application.sessions.size() == 1U);
  BOOST_TEST(server->RunningExchanges() == 1);
  application.sessions[0]->Respond("first");
  BOOST_TEST(WaitUntil([&] { return application.sessions.size() == 2; }));
  application.sessions[1]->Respond("second");
  BOOST_TEST(WaitUntil([&] { return caller.Count("second") == 1; }));
  BOOST_TEST(application.sessions[0]->isComplete);
}

BOOST_AUTO_TEST_CASE(ResponsesWithoutABodyHaveNone)
{
  application.onEnd = [](RecordingSession& aSession) {
    aSession.Respond("body", std::atoi(aSession.head.target.c_str() + 1));
  };
  RawConnection caller(server->Port());
  caller.Send("HEAD /200 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /204 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /304 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /200 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return caller.Count("body") == 1; }));
  BOOST_TEST(caller.received ==
             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
             "HTTP/1.1 204 No Content\r\n\r\n"
             "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

BOOST_AUTO_TEST_CASE(ContinueIsSentBeforeTheBody)
{
  RawConnection caller(server->Port());
  caller.Send(Post("Expect: 100-Continue\r\nContent-Length: 5\r\n"));
  BOOST_TEST(WaitUntil(
    [&] { return caller.received == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  BOOST_TEST(!application.sessions.at(0)->head.fields.Find("Expect"));
  caller.Send("hello" + kGet);
  BOOST_TEST(WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 2; }));
}

// Guards against an interim response that requests the body although the
// application cannot take it yet, or has already rejected it.
BOOST_AUTO_TEST_CASE(ContinueIsNotSentWhileTheBodyIsUnwanted)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.exchange->PauseRequestBody();
  };
  RawConnection paused(server->Port());
  paused.Send(Post("Expect: 100-continue\r\nContent-Length: 5\r\n"));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(paused.received.empty());
  application.sessions.at(0)->exchange->ResumeRequestBody();
  BOOST_TEST(WaitUntil([&] { return paused.Count("100 Continue") == 1; }));

  application.onRequest = [](RecordingSession& aSession) {
    aSession.Respond("no", 403);
  };
  RawConnection refused(server->Port());
  refused.Send(Post("Expect: 100-continue\r\nContent-Length: 5\r\n"));
  BOOST_TEST(WaitUntil([&] { return refused.isClosed; }));
  BOOST_TEST(StatusOf(refused.received) == 403);
  BOOST_TEST(refused.Count("Connection: close\r\n") == 1);
}

// Guards against the rest of a rejected body that is parsed as the next
// request.
BOOST_AUTO_TEST_CASE(AnEarlyResponseEndsTheConnection)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.Respond("early", 403);
  };
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 100000\r\n", kGet));
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.Count("HTTP/1.1 ") == 1);
  BOOST_TEST(caller.Count("Connection: close\r\n") == 1);
  BOOST_TEST(application.sessions.size() == 1U);
  BOOST_TEST(application.sessions[0]->isComplete);
  BOOST_TEST(application.sessions[0]->ends == 0);
}

// Guards against an early response that is lost by a reset, because the caller
// still sends its body.
BOOST_AUTO_TEST_CASE(AnEarlyResponseReachesACallerThatStillSends)
{
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 100000000\r\n"));
  const std::string piece(64 * 1024, 'x');
  for (int i = 0; i < 64; ++i) {
    caller.Send(piece);
  }
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 413);
}

BOOST_AUTO_TEST_CASE(ARequestToCloseIsHonoured)
{
  RawConnection caller(server->Port());
  caller.Send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + kGet);
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.Count("HTTP/1.1 200") == 1);
  BOOST_TEST(application.sessions.size() == 1U);
}

// Guards against work that continues for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(AClosedConnectionCancelsItsRequest)
{
  application.onEnd = nullptr;
  RawConnection caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return application.sessions.size() == 1; }));
  caller.Close();
  BOOST_TEST(WaitUntil([&] { return application.sessions[0]->closes == 1; }));
  BOOST_TEST(!application.sessions[0]->isComplete);
  BOOST_TEST(WaitUntil([&] { return server->OpenConnections() == 0; }));
  BOOST_TEST(server->RunningExchanges() == 0);
  // Late calls have no effect.
  application.sessions[0]->Respond("late");
  application.sessions[0]->exchange->Abort();
  BOOST_TEST(application.sessions[0]->closes == 1);
}

// Guards against a request that stays queued although its caller has
// disconnected, because a full read buffer hides the close. The bytes sent fill
// the read buffer but not the receive window: a close behind bytes that the
// window holds back does not reach the server at all.
BOOST_AUTO_TEST_CASE(AClosedConnectionIsDetectedBehindAPausedBody)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.exchange->PauseRequestBody();
  };
  RawConnection caller(server->Port());
  caller.Send(Post("Content-Length: 1000000\r\n", std::string(100'000, 'x')));
  BOOST_TEST(WaitUntil([&] {
    return application.sessions.size() == 1 &&
           caller.Socket().bytesToWrite() == 0;
  }));
  RunFor(std::chrono::milliseconds(50));
  caller.Close();
  BOOST_TEST(WaitUntil([&] { return application.sessions[0]->closes == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Truncation, ServerFixture)

// Guards against a truncated response that looks complete to its caller.
BOOST_AUTO_TEST_CASE(AnAbortedChunkedResponseHasNoLastChunk)
{
  application.onEnd = [](RecordingSession& aSession) {
    HttpResponseHead head;
    head.status = 200;
    head.framing = BodyFraming::Chunked;
    aSession.exchange->SendHead(head);
    aSession.exchange->SendBody(std::string_view("half"));
  };
  RawConnection caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return caller.Count("half") == 1; }));
  application.sessions.at(0)->exchange->Abort();
  BOOST_TEST(application.sessions[0]->closes == 0);
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.received.ends_with("\r\n\r\n4\r\nhalf\r\n"));
  BOOST_TEST(WaitUntil([&] { return application.sessions[0]->closes == 1; }));
  BOOST_TEST(!application.sessions[0]->isComplete);
}

BOOST_AUTO_TEST_CASE(AFinishBeforeTheAnnouncedLengthAborts)
{
  application.onEnd = [](RecordingSession& aSession) {
    HttpResponseHead head;
    head.status = 200;
    head.framing = BodyFraming::Length;
    head.contentLength = 10;
    aSession.exchange->SendHead(head);
    aSession.exchange->SendBody(std::string_view("half"));
    aSession.exchange->Finish();
  };
  RawConnection caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(BodyOf(caller.received).size() < 10U);
  BOOST_TEST(
    WaitUntil([&] { return application.sessions.at(0)->closes == 1; }));
  BOOST_TEST(!application.sessions[0]->isComplete);
}

// Guards against a body whose excess bytes are read as the next response.
BOOST_AUTO_TEST_CASE(ABodyLongerThanAnnouncedAborts)
{
  application.onEnd = [](RecordingSession& aSession) {
    HttpResponseHead head;
    head.status = 200;
    head.framing = BodyFraming::Length;
    head.contentLength = 2;
    aSession.exchange->SendHead(head);
    aSession.exchange->SendBody(std::string_view("long"));
  };
  RawConnection caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(BodyOf(caller.received).empty());
}

BOOST_AUTO_TEST_CASE(AnAbortDuringTheRequestEventSendsNothing)
{
  application.onRequest = [](RecordingSession& aSession) {
    aSession.exchange->Abort();
  };
  RawConnection caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.received.empty());
  BOOST_TEST(
    WaitUntil([&] { return application.sessions.at(0)->closes == 1; }));
}

// Guards against a response to a caller whose body ends with the connection.
BOOST_AUTO_TEST_CASE(ABodyUntilCloseIsSentInChunks)
{
  application.onEnd = [](RecordingSession& aSession) {
    HttpResponseHead head;
    head.status = 200;
    head.framing = BodyFraming::UntilClose;
    aSession.exchange->SendHead(head);
    aSession.exchange->SendBody(std::string_view("whole"));
    aSession.exchange->Finish();
  };
  RawConnection caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return caller.Count("whole") == 1; }));
  BOOST_TEST(caller.received.ends_with("5\r\nwhole\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GracefulStop, ServerFixture)

// Guards against a planned stop that interrupts a request in flight.
BOOST_AUTO_TEST_CASE(RunningExchangesFinish)
{
  application.onEnd = nullptr;
  RawConnection running(server->Port());
  RawConnection idle(server->Port());
  RawConnection arriving(server->Port());
  running.Send(kGet);
  idle.Send(kGet);
  arriving.Send("GET /arriving HTTP/1.1\r\n");
  BOOST_TEST(WaitUntil([&] { return application.sessions.size() == 2; }));
  RunFor(std::chrono::milliseconds(50));
  const bool isFirstRunning = application.sessions[0]->exchange->Peer().port ==
                              running.Socket().localPort();
  application.sessions[isFirstRunning ? 1 : 0]->Respond("done");
  BOOST_TEST(WaitUntil([&] { return idle.Count("done") == 1; }));
  BOOST_TEST(idle.Count("Connection: close") == 0);

  server->StopAccepting();
  BOOST_TEST(WaitUntil([&] { return idle.isClosed; }));
  BOOST_TEST(!running.isClosed);
  RawConnection late(server->Port());
  BOOST_TEST(WaitUntil([&] { return late.isClosed; }));

  application.sessions[isFirstRunning ? 0 : 1]->Respond("finished");
  BOOST_TEST(WaitUntil([&] { return running.isClosed; }));
  BOOST_TEST(running.Count("finished") == 1);
  BOOST_TEST(running.Count("Connection: close\r\n") == 1);

  arriving.Send("Host: h\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return application.sessions.size() == 3; }));
  application.sessions[2]->Respond("arrived");
  BOOST_TEST(WaitUntil([&] { return arriving.isClosed; }));
  BOOST_TEST(arriving.Count("arrived") == 1);
  BOOST_TEST(WaitUntil([&] { return server->OpenConnections() == 0; }));
  BOOST_TEST(server->RunningExchanges() == 0);
}

// Guards against a request that is lost because its bytes were still in the
// socket when the stop began.
BOOST_AUTO_TEST_CASE(ARequestInTheSocketGetsAResponse)
{
  RawConnection caller(server->Port());
  BOOST_TEST(WaitUntil([&] { return server->OpenConnections() == 1; }));
  caller.Send(kGet);
  caller.Socket().flush();
  server->StopAccepting();
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(StatusOf(caller.received) == 200);
  BOOST_TEST(caller.Count("Connection: close\r\n") == 1);
}

// Guards against sessions that wait forever for the end of their exchange.
BOOST_AUTO_TEST_CASE(ADestroyedServerClosesItsExchanges)
{
  application.onEnd = nullptr;
  RawConnection caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(WaitUntil([&] { return application.sessions.size() == 1; }));
  server.reset();
  BOOST_TEST(application.sessions[0]->closes == 1);
  application.sessions[0]->Respond("late");
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.received.empty());
}

BOOST_AUTO_TEST_CASE(AnAddressInUseIsReported)
{
  const auto second = HttpServer::Create(
    { "127.0.0.1", server->Port() }, {}, application, reason);
  BOOST_TEST(second == nullptr);
  BOOST_TEST(!reason.empty());
  BOOST_TEST(HttpServer::Create({ "nowhere", 0 }, {}, application, reason) ==
             nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
