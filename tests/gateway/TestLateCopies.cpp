#include "platform/tests/support/RawMessage.h"
#include "platform/tests/support/SessionFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

// Time between two parts of a response.
constexpr std::chrono::milliseconds kPause{ 15 };

enum class Framing
{
  Length,
  Chunked,
  UntilClose,
};

std::ostream&
operator<<(std::ostream& aStream, Framing aFraming)
{
  switch (aFraming) {
    case Framing::Length:
      return aStream << "length";
    case Framing::Chunked:
      return aStream << "chunked";
    case Framing::UntilClose:
      return aStream << "until-close";
  }
  return aStream;
}

const std::vector<Framing> kFramings{ Framing::Length,
                                      Framing::Chunked,
                                      Framing::UntilClose };

std::string
Chunk(std::string_view aBytes)
{
  return fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes);
}

// A response to the request aId. An empty id names no request.
std::string
MakeResponse(std::string_view aId, Framing aFraming, std::string_view aBody)
{
  std::string response = "HTTP/1.1 200 OK\r\nResponse-Signature: 3e1b\r\n";
  if (!aId.empty()) {
    response += fmt::format("Request-Id: {}\r\n", aId);
  }
  switch (aFraming) {
    case Framing::Length:
      response += fmt::format("Content-Length: {}\r\n\r\n", aBody.size());
      return response.append(aBody);
    case Framing::Chunked:
      return response + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(aBody) +
             "0\r\n\r\n";
    case Framing::UntilClose:
      return response.append("\r\n").append(aBody);
  }
  return response;
}

// One host before a server that responds to the first request of a connection
// at once, and to the second in parts, between which it sends a second copy of
// its first response.
struct LateCopyFixture : SessionFixture
{
  LateCopyFixture()
  {
    server.onReceived = [this](RawConnection& aConnection) {
      while (const auto request = TakeMessage(aConnection.received)) {
        OnRequest(aConnection, *request);
      }
    };
  }

  void OnRequest(RawConnection& aConnection, const RawMessage& aRequest)
  {
    const std::string id = aRequest.RequestId();
    if (id == kFirstId) {
      const std::string response =
        MakeResponse(kFirstId, Framing::Length, "first");
      aConnection.Send(response);
      return;
    }
    // The copy shows nothing on a connection that did not carry the first.
    isOnSameConnection = &aConnection == server.connections.front().get();
    const std::string response = MakeResponse(id, framing, body);
    QTcpSocket* const socket = &aConnection.Socket();
    const auto begin = static_cast<std::ptrdiff_t>(
      std::min(copyAt + response.size() - BodyBytesOnWire(), response.size()));
    const std::vector<std::string> parts{ response.substr(0, begin),
                                          copy,
                                          response.substr(begin) };
    for (std::size_t i = 0; i < parts.size(); ++i) {
      QTimer::singleShot(i * kPause, socket, [socket, part = parts[i]] {
        socket->write(part.data(), static_cast<qint64>(part.size()));
      });
    }
    if (framing == Framing::UntilClose) {
      QTimer::singleShot(parts.size() * kPause, socket, [socket] {
        socket->disconnectFromHost();
      });
    }
  }

  std::size_t BodyBytesOnWire() const
  {
    return framing == Framing::Chunked ? Chunk(body).size() + 5 : body.size();
  }

  // Sends a request and returns what its caller received.
  std::string Call(const char* aId, const char* aTarget) const
  {
    RawConnection caller(host->gateway->FrontPort());
    caller.Send(fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\n"
                            "Request-Id: {}\r\nRequest-Timeout-Ms: 2000\r\n"
                            "Connection: close\r\n\r\n",
                            aTarget,
                            aId));
    BOOST_TEST(WaitUntil([&] { return caller.isClosed; }, 3s));
    return caller.received;
  }

  // Returns the response to the second request of a connection.
  std::string CallTwice(const char* aTarget)
  {
    BOOST_TEST(Call(kFirstId, aTarget).ends_with("first"));
    return Call(kSecondId, aTarget);
  }

  static bool IsSuccess(const std::string& aResponse)
  {
    return aResponse.starts_with("HTTP/1.1 200");
  }

  static constexpr const char* kFirstId = "0a01";
  static constexpr const char* kSecondId = "0b02";

  Framing framing = Framing::Length;
  std::string body = std::string(600, 'b');
  // Position in the body of the second response, in bytes; with chunks, behind
  // the chunk's size line.
  std::size_t copyAt = 300;
  std::string copy = MakeResponse(kFirstId, Framing::Length, "first");
  bool isOnSameConnection = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ASecondCopyWithinTheNextResponse, LateCopyFixture)

// Guards against a success with bytes of another request's response: a server
// sends a second copy of the response late, within the body of the next
// response on the connection.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       IsNotPassedOn,
                       boost::unit_test::data::make(kFramings) *
                         boost::unit_test::data::make({ 0, 1, 300, 599 }),
                       itsFraming,
                       position)
{
  framing = itsFraming;
  copyAt = position;
  const std::string response = CallTwice("/lookup/1");
  BOOST_TEST(isOnSameConnection);
  BOOST_TEST(!IsSuccess(response), response);
}

// As above, for a copy that does not name its request.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       IsNotPassedOnIfItNamesNoRequest,
                       boost::unit_test::data::make(kFramings),
                       itsFraming)
{
  framing = itsFraming;
  copy = MakeResponse("", Framing::Length, "first");
  const std::string response = CallTwice("/lookup/1");
  BOOST_TEST(isOnSameConnection);
  BOOST_TEST(!IsSuccess(response), response);
}

// As above, for copies that are no valid responses.
BOOST_DATA_TEST_CASE_F(
  LateCopyFixture,
  IsNotPassedOnIfItIsInvalid,
  boost::unit_test::data::make({ "000 X\r\n",
                                 "099 X\r\n",
                                 "600 X\r\n",
                                 "102 Processing\r\n",
                                 "200 OK\r\nContent-Length: 7\r\n",
                                 "200 OK\r\nTransfer-Encoding: gzip\r\n" }),
  begin)
{
  copy = fmt::format("HTTP/1.1 {}Request-Id: {}\r\n"
                     "Content-Length: 5\r\n\r\nfirst",
                     begin,
                     kFirstId);
  const std::string response = CallTwice("/lookup/1");
  BOOST_TEST(isOnSameConnection);
  BOOST_TEST(!IsSuccess(response), response);
}

// As above, for a copy behind text that begins like a response.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       IsNotPassedOnBehindTextAboutHttp,
                       boost::unit_test::data::make(
                         { "\"GET / HTTP/1.1\" 200 12",
                           "HTTP/1.",
                           "HTTP/1.1 20",
                           "HTTP/1.1 is a protocol\r\nA: ",
                           "HTTP/1.1 200 OK\r\nX: ",
                           "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX: " }),
                       text)
{
  copyAt = std::string_view(text).size();
  body = text + body;
  const std::string response = CallTwice("/lookup/1");
  BOOST_TEST(isOnSameConnection);
  BOOST_TEST(!IsSuccess(response), response);
}

// As above, for a response that is passed on while it arrives: it must not look
// complete.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       CutsAResponseThatIsStreamed,
                       boost::unit_test::data::make(kFramings) *
                         boost::unit_test::data::make({ 1'500'000, 1'999'999 }),
                       itsFraming,
                       position)
{
  framing = itsFraming;
  body = std::string(2'000'000, 'b');
  copyAt = position;
  const std::string response = CallTwice("/manual/1");
  BOOST_TEST(isOnSameConnection);
  BOOST_TEST(response.find("HTTP/1.1 ", 1) == std::string::npos);
  BOOST_TEST(response.find("Request-Id: 0a01") == std::string::npos);
  const auto message = ReadHead(response);
  BOOST_TEST_REQUIRE(message.has_value());
  BOOST_TEST(!response.ends_with("0\r\n\r\n"));
  const auto bodyBytes = response.size() - message->head.size() - 2;
  BOOST_TEST((message->Length() == 0 || bodyBytes < message->Length()));
}

// As above, within the head of the next response, whose signature would be that
// of the copy. A failure with it would state another status than that server
// gave. The second response is sent up to the value of a field.
BOOST_DATA_TEST_CASE_F(
  LateCopyFixture,
  IsNotPassedOnWithinAHead,
  boost::unit_test::data::make({ "200 OK", "404 Not Found", "500 Failed" }) *
    boost::unit_test::data::make({ "Response-Signature: ", "Date: " }),
  status,
  field)
{
  const std::string begin = fmt::format(
    "HTTP/1.1 {}\r\nRequest-Id: {}\r\n{}", status, kSecondId, field);
  copy = MakeResponse("", Framing::Length, "first");
  server.onReceived = [&](RawConnection& aConnection) {
    const auto request = TakeMessage(aConnection.received);
    if (!request) {
      return;
    }
    if (request->RequestId() == kFirstId) {
      aConnection.Send(MakeResponse(kFirstId, Framing::Length, "first"));
      return;
    }
    isOnSameConnection = &aConnection == server.connections.front().get();
    aConnection.Send(begin + copy);
    aConnection.Send("4f2c\r\nResponse-Signature: 4f2c\r\n"
                     "Content-Length: 6\r\n\r\nsecond");
  };
  const std::string response = CallTwice("/lookup/1");
  BOOST_TEST(isOnSameConnection);
  BOOST_TEST(!IsSuccess(response), response);
  BOOST_TEST(response.find("Response-Signature: ") == std::string::npos,
             response);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ASecondCopyOfAResponseWithoutALength, LateCopyFixture)

// Guards against a body that a server's second copy of the same response has
// made longer, on a new connection and on one that has carried another request.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       IsNotPassedOn,
                       boost::unit_test::data::make({ false, true }) *
                         boost::unit_test::data::make({ false, true }),
                       isNamed,
                       isReused)
{
  framing = Framing::UntilClose;
  copyAt = body.size();
  copy = MakeResponse(isNamed ? kSecondId : "", framing, body);
  const std::string response =
    isReused ? CallTwice("/lookup/1") : Call(kSecondId, "/lookup/1");
  BOOST_TEST(!IsSuccess(response), response);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ASecondCopyThatTheCloseCuts, LateCopyFixture)

// As above, where the connection ends within the copy, on a new connection.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       IsNotPassedOn,
                       boost::unit_test::data::make({ 12, 40 }),
                       copyBytes)
{
  framing = Framing::UntilClose;
  copyAt = body.size();
  copy = MakeResponse(kSecondId, framing, body).substr(0, copyBytes);
  const std::string response = Call(kSecondId, "/lookup/1");
  BOOST_TEST(!IsSuccess(response), response);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ABodyThatHoldsAResponse, LateCopyFixture)

// Guards against sound responses that are lost: text that looks like a
// response, for example in a manual, is not a copy.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       IsPassedOnIfItNamesAnotherRequest,
                       boost::unit_test::data::make(kFramings),
                       itsFraming)
{
  framing = itsFraming;
  body =
    "An example:\r\n\r\n" + MakeResponse("0c03", Framing::Length, "an example");
  copy = "";
  const std::string response = CallTwice("/lookup/1");
  BOOST_TEST(IsSuccess(response), response);
  BOOST_TEST(response.find(body.substr(0, 100)) != std::string::npos);
}

// As above. A server's responses bear its signature.
BOOST_DATA_TEST_CASE_F(LateCopyFixture,
                       IsPassedOnWithoutASignatureAndId,
                       boost::unit_test::data::make(kFramings),
                       itsFraming)
{
  framing = itsFraming;
  body = "An example:\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
         "and a line of a log: \"GET / HTTP/1.1\" 200";
  copy = "";
  const std::string response = CallTwice("/lookup/1");
  BOOST_TEST(isOnSameConnection);
  BOOST_TEST(IsSuccess(response), response);
}

// As above, at the end of a body, where a head is incomplete. On a new
// connection and with a length, there is nothing of which it could be a copy.
BOOST_AUTO_TEST_CASE(IsPassedOnOnANewConnectionIfItIsIncomplete)
{
  body = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 O";
  copy = "";
  const std::string response = Call(kSecondId, "/lookup/1");
  BOOST_TEST(IsSuccess(response), response);
  BOOST_TEST(response.ends_with(body));
}

BOOST_AUTO_TEST_SUITE_END()
