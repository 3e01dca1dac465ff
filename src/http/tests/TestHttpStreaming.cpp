#include "http/HttpClient.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingApplication.h"
#include "http/tests/support/RecordingObserver.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr std::size_t kBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t kPieceBytes = 64 * 1024;
// Unsent bytes may exceed the high watermark by one piece and its chunk lines.
constexpr std::size_t kUnsentLimit = 256 * 1024 + kPieceBytes + 64;

// A body in which each position can be verified: the period is prime, so a
// piece that is lost, duplicated or swapped shifts the pattern.
class Pattern
{
public:
  Pattern()
    : bytes_(kPieceBytes + kPeriod, '\0')
  {
    for (std::size_t i = 0; i < bytes_.size(); ++i) {
      bytes_[i] = static_cast<char>(i % kPeriod);
    }
  }

  std::string_view Next(std::size_t aSize)
  {
    const std::string_view piece(bytes_.data() + at_ % kPeriod, aSize);
    at_ += aSize;
    return piece;
  }

  // Checks the next received bytes.
  void Check(ByteView aBytes)
  {
    for (ByteView rest = aBytes; !rest.empty();) {
      const std::size_t size = std::min(rest.size(), kPieceBytes);
      isIntact_ =
        isIntact_ && std::string_view(rest.data(), size) == Next(size);
      rest = rest.subspan(size);
    }
  }

  std::size_t At() const { return at_; }
  bool IsIntact() const { return isIntact_; }

private:
  static constexpr std::size_t kPeriod = 251;

  std::string bytes_;
  std::size_t at_ = 0;
  bool isIntact_ = true;
};

HttpRequestHead
Request(std::string_view aMethod, BodyFraming aFraming)
{
  HttpRequestHead head;
  head.method = aMethod;
  head.target = "/";
  head.framing = aFraming;
  head.contentLength = kBodyBytes;
  return head;
}

// A client and a server that transfer a body of 64 MB.
struct StreamFixture : ServerFixture
{
  Endpoint Address() const { return { "127.0.0.1", server->Port() }; }

  std::unique_ptr<HttpClient> client = HttpClient::Create({});
  std::shared_ptr<RecordingObserver> observer =
    std::make_shared<RecordingObserver>();
  std::shared_ptr<HttpClientExchange> exchange;
  Pattern sent;
  Pattern received;
  std::size_t maxUnsent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(Streaming)

// Guards against bodies that accumulate in memory, and against lost, duplicated
// or swapped pieces, when a server reads slowly.
BOOST_DATA_TEST_CASE_F(StreamFixture,
                       ALargeRequestReachesASlowServer,
                       boost::unit_test::data::make({ 1, 2 }),
                       variant)
{
  const BodyFraming framing =
    variant == 1 ? BodyFraming::Length : BodyFraming::Chunked;
  std::size_t sinceResume = 0;
  // Context object of the resume calls; pending ones are dropped at the end of
  // the test.
  QObject context;
  application.onEnd = [](RecordingSession& aSession) {
    aSession.Respond(std::to_string(aSession.bodyBytes));
  };
  std::size_t deliveredWhilePaused = 0;
  // Pauses for a short time after every 4 MB.
  const auto pauseNow = [&](RecordingSession& aSession) {
    aSession.exchange->PauseRequestBody();
    QTimer::singleShot(
      5, &context, [&, session = &aSession, before = aSession.bodyBytes] {
        deliveredWhilePaused += session->bodyBytes - before;
        session->exchange->ResumeRequestBody();
      });
  };
  std::uint64_t checked = 0;
  application.onRequest = [&](RecordingSession& aSession) {
    aSession.onBody = [&](RecordingSession& aBodySession) {
      received.Check(aBodySession.body);
      checked += aBodySession.body.size();
      sinceResume += aBodySession.body.size();
      aBodySession.body.clear();
      if (sinceResume > 4 * 1024 * 1024) {
        sinceResume = 0;
        pauseNow(aBodySession);
      }
    };
  };

  const auto sendMore = [&] {
    while (sent.At() < kBodyBytes &&
           exchange->UnsentBytes() < HttpClientLimits{}.highWatermark) {
      exchange->SendBody(sent.Next(kPieceBytes));
      maxUnsent = std::max(maxUnsent, exchange->UnsentBytes());
    }
    if (sent.At() == kBodyBytes) {
      exchange->FinishBody();
    }
  };
  observer->onWritable = sendMore;
  exchange = client->Start(Address(), Request("POST", framing), {}, observer);
  sendMore();
  BOOST_TEST(
    WaitUntil([&] { return observer->IsOver(); }, std::chrono::seconds(30)));
  BOOST_TEST(observer->body == std::to_string(kBodyBytes));
  BOOST_TEST(checked == kBodyBytes);
  BOOST_TEST(received.IsIntact());
  BOOST_TEST(deliveredWhilePaused == 0U);
  BOOST_TEST(maxUnsent <= kUnsentLimit);
}

// Guards against the same failures in the other direction: a caller that reads
// slowly.
BOOST_DATA_TEST_CASE_F(StreamFixture,
                       ALargeResponseReachesASlowReader,
                       boost::unit_test::data::make({ 1, 2 }),
                       variant)
{
  const BodyFraming framing =
    variant == 1 ? BodyFraming::Length : BodyFraming::Chunked;
  const auto sendMore = [&](RecordingSession& aSession) {
    while (sent.At() < kBodyBytes && aSession.exchange->UnsentBytes() <
                                       HttpServerLimits{}.highWatermark) {
      aSession.exchange->SendBody(sent.Next(kPieceBytes));
      maxUnsent = std::max(maxUnsent, aSession.exchange->UnsentBytes());
    }
    if (sent.At() == kBodyBytes) {
      aSession.exchange->Finish();
    }
  };
  application.onRequest = [&](RecordingSession& aSession) {
    aSession.onWritable = sendMore;
  };
  application.onEnd = [&](RecordingSession& aSession) {
    HttpResponseHead head;
    head.status = 200;
    head.framing = framing;
    head.contentLength = kBodyBytes;
    aSession.exchange->SendHead(head);
    sendMore(aSession);
  };
  std::size_t sinceResume = 0;
  std::size_t deliveredWhilePaused = 0;
  bool isPaused = false;
  QTimer resume;
  resume.setSingleShot(true);
  resume.setInterval(5);
  QObject::connect(&resume, &QTimer::timeout, &resume, [&] {
    isPaused = false;
    exchange->ResumeResponseBody();
  });
  observer->keepsBody = false;
  observer->onBody = [&](ByteView aBytes) {
    received.Check(aBytes);
    sinceResume += aBytes.size();
    deliveredWhilePaused += isPaused ? aBytes.size() : 0;
    if (sinceResume > 4 * 1024 * 1024) {
      sinceResume = 0;
      isPaused = true;
      exchange->PauseResponseBody();
      resume.start();
    }
  };
  exchange =
    client->Start(Address(), Request("GET", BodyFraming::None), {}, observer);
  BOOST_TEST(
    WaitUntil([&] { return observer->IsOver(); }, std::chrono::seconds(30)));
  BOOST_TEST(observer->ends == 1);
  BOOST_TEST(observer->bodyBytes == kBodyBytes);
  BOOST_TEST(received.IsIntact());
  BOOST_TEST(deliveredWhilePaused == 0U);
  BOOST_TEST(maxUnsent <= kUnsentLimit);
}

// Guards against a sender that continues although its reader has stopped
// completely, and against lost bytes when the reader resumes.
BOOST_FIXTURE_TEST_CASE(AStoppedReaderStopsTheSender, StreamFixture)
{
  const auto sendMore = [&](RecordingSession& aSession) {
    while (sent.At() < kBodyBytes && aSession.exchange->UnsentBytes() <
                                       HttpServerLimits{}.highWatermark) {
      aSession.exchange->SendBody(sent.Next(kPieceBytes));
    }
    if (sent.At() == kBodyBytes) {
      aSession.exchange->Finish();
    }
  };
  application.onRequest = [&](RecordingSession& aSession) {
    aSession.onWritable = sendMore;
  };
  application.onEnd = [&](RecordingSession& aSession) {
    HttpResponseHead head;
    head.status = 200;
    head.framing = BodyFraming::Chunked;
    aSession.exchange->SendHead(head);
    sendMore(aSession);
  };
  observer->keepsBody = false;
  observer->onBody = [&](ByteView aBytes) { received.Check(aBytes); };
  exchange =
    client->Start(Address(), Request("GET", BodyFraming::None), {}, observer);
  exchange->PauseResponseBody();
  RunFor(std::chrono::milliseconds(200));
  const std::size_t sentWhilePaused = sent.At();
  RunFor(std::chrono::milliseconds(100));
  BOOST_TEST(sent.At() == sentWhilePaused);
  // The kernel's socket buffers are not memory of the program; they hold a few
  // megabytes at most.
  BOOST_TEST(sentWhilePaused < 16U * 1024 * 1024);
  BOOST_TEST(observer->bodyBytes == 0U);
  BOOST_TEST(!observer->IsOver());
  exchange->ResumeResponseBody();
  BOOST_TEST(
    WaitUntil([&] { return observer->IsOver(); }, std::chrono::seconds(30)));
  BOOST_TEST(observer->bodyBytes == kBodyBytes);
  BOOST_TEST(received.IsIntact());
}

// Guards against a server that loses the end of a response because it closes
// the connection right after it.
BOOST_FIXTURE_TEST_CASE(TheLastBytesArriveBeforeTheClose, StreamFixture)
{
  application.onEnd = [](RecordingSession& aSession) {
    aSession.Respond(std::string(8 * 1024 * 1024, 'x') + "end");
  };
  RawConnection caller(server->Port());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.received.ends_with("xend"));
  BOOST_TEST(application.sessions.at(0)->isComplete);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
