#include "http/BodyFramingFields.h"
#include "http/ConnectionFields.h"
#include "http/HttpHeadWriter.h"
#include "http/ProgressWindow.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(Fields)

BOOST_AUTO_TEST_CASE(NamesAreCaseInsensitive)
{
  HttpFields fields;
  fields.Add("Accept", "one");
  fields.Add("ACCEPT", "two");
  BOOST_TEST(fields.Find("accept").value() == "one");
  fields.Set("accept", *fields.Find("ACCEPT"));
  BOOST_REQUIRE(fields.All().size() == 1U);
  BOOST_TEST(fields.Find("Accept").value() == "one");
  fields.Remove("aCCept");
  BOOST_TEST(!fields.Find("Accept"));
}

// Guards against a hop-by-hop field that is forwarded on the next connection.
BOOST_AUTO_TEST_CASE(ConnectionFieldsAreRemovedWithTheFieldsTheyList)
{
  HttpFields fields;
  for (const char* const name : { "Content-Length",
                                  "transfer-encoding",
                                  "Keep-Alive",
                                  "TE",
                                  "Trailer",
                                  "Upgrade",
                                  "Proxy-Authorization",
                                  "proxy-connection",
                                  "X-Hop",
                                  "Host",
                                  "X-End" }) {
    fields.Add(name, "v");
  }
  fields.Add("Connection", "close, x-hop ,, host");
  RemoveConnectionFields(fields);
  BOOST_REQUIRE(fields.All().size() == 2U);
  BOOST_TEST(fields.All()[0].name == "Host");
  BOOST_TEST(fields.All()[1].name == "X-End");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Heads)

// Guards against a value that injects a field or a whole message.
BOOST_AUTO_TEST_CASE(AFieldWithALineBreakIsNotWritten)
{
  HttpRequestHead head;
  head.method = "GET";
  head.target = "/";
  head.fields.Add("X-Value", "a\r\nX-Forged: b");
  std::string reason;
  BOOST_TEST(!WriteRequestHead(head, reason));
  head.fields.Set("X-Value", "a");
  BOOST_TEST(WriteRequestHead(head, reason).value() ==
             "GET / HTTP/1.1\r\nX-Value: a\r\n\r\n");
  head.fields.Add("X Name", "a");
  BOOST_TEST(!WriteRequestHead(head, reason));
}

BOOST_AUTO_TEST_CASE(ATargetWithASpaceIsNotWritten)
{
  HttpRequestHead head;
  head.method = "GET";
  head.target = "/ HTTP/1.1\r\nX-Forged: b";
  std::string reason;
  BOOST_TEST(!WriteRequestHead(head, reason));
}

// Guards against two framings in one message: that of the head object and that
// of its fields.
BOOST_AUTO_TEST_CASE(OnlyTheFramingOfTheHeadIsWritten)
{
  HttpResponseHead head;
  head.status = 200;
  head.reason = "OK";
  head.fields.Add("Content-Length", "5");
  head.fields.Add("Connection", "keep-alive");
  head.framing = BodyFraming::Chunked;
  std::string reason;
  BOOST_TEST(WriteResponseHead(head, { true, false }, reason).value() ==
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  head.framing = BodyFraming::UntilClose;
  BOOST_TEST(WriteResponseHead(head, { false, false }, reason).value() ==
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
             "Connection: close\r\n\r\n");
  head.framing = BodyFraming::None;
  BOOST_TEST(WriteResponseHead(head, { true, false }, reason).value() ==
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Progress)

// Guards against a peer that sends fast at first and then holds its connection
// for hours: a rate averaged over the whole time would allow that.
BOOST_AUTO_TEST_CASE(AFastStartDoesNotAllowALaterStall)
{
  constexpr std::chrono::seconds kWindow{ 10 };
  constexpr std::size_t kRate = 1024;
  Instant now{ std::chrono::hours(1) };
  ProgressWindow window;
  BOOST_TEST(window.Check(now, kWindow, kRate));
  window.AddBytes(1'000'000'000);
  now += kWindow;
  BOOST_TEST(window.Check(now, kWindow, kRate));
  now += kWindow - std::chrono::milliseconds(1);
  BOOST_TEST(window.Check(now, kWindow, kRate));
  now += std::chrono::milliseconds(1);
  BOOST_TEST(!window.Check(now, kWindow, kRate));
}

BOOST_AUTO_TEST_CASE(TheMinimumRateIsSufficient)
{
  constexpr std::chrono::seconds kWindow{ 10 };
  Instant now{ std::chrono::hours(1) };
  ProgressWindow window;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(window.Check(now, kWindow, 1024));
    window.AddBytes(10 * 1024);
    now += kWindow;
  }
  BOOST_TEST(window.Check(now, kWindow, 1024));
  window.AddBytes(10 * 1024 - 1);
  now += kWindow;
  BOOST_TEST(!window.Check(now, kWindow, 1024));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
