#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RecordingObserver.h"
#include "standins/backend/BackendApplication.h"

#include <boost/test/unit_test.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include <cstdlib>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

BackendSettings
QuickSettings()
{
  BackendSettings settings;
  settings.slots = 2;
  settings.serviceTime = std::chrono::milliseconds(2);
  settings.serviceTimeSigma = 0.1;
  settings.loadLag = std::chrono::milliseconds(0);
  return settings;
}

HttpFields
Fields(std::string_view aName, std::string_view aValue)
{
  HttpFields fields;
  fields.Add(aName, aValue);
  return fields;
}

struct BackendFixture
{
  std::shared_ptr<RecordingObserver> Start(std::string_view aMethod,
                                           std::string_view aTarget,
                                           HttpFields aFields = {},
                                           std::string_view aBody = {})
  {
    HttpRequestHead head;
    head.method = aMethod;
    head.target = aTarget;
    head.fields = std::move(aFields);
    head.framing = aBody.empty() ? BodyFraming::None : BodyFraming::Length;
    head.contentLength = aBody.size();
    auto observer = std::make_shared<RecordingObserver>();
    exchange =
      client->Start({ "127.0.0.1", server->Port() }, head, {}, observer);
    exchange->SendBody(aBody);
    return observer;
  }

  std::shared_ptr<RecordingObserver> Finish(std::string_view aMethod,
                                            std::string_view aTarget,
                                            HttpFields aFields = {},
                                            std::string_view aBody = {})
  {
    auto observer = Start(aMethod, aTarget, std::move(aFields), aBody);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    return observer;
  }

  int Status(std::string_view aTarget, HttpFields aFields = {})
  {
    const auto observer = Finish("GET", aTarget, std::move(aFields));
    return observer->head ? observer->head->status : 0;
  }

  void SwitchTo(const std::string& aMode)
  {
    const auto observer = Finish("POST", "/control?mode=" + aMode);
    BOOST_REQUIRE(observer->head.has_value());
    BOOST_REQUIRE(observer->head->status == 200);
  }

  QJsonObject Runs()
  {
    const auto observer = Finish("GET", "/control/runs");
    return QJsonDocument::fromJson(QByteArray::fromStdString(observer->body))
      .object();
  }

  BackendApplication backend{ QuickSettings() };
  std::string reason;
  std::unique_ptr<HttpServer> server =
    HttpServer::Create({ "127.0.0.1", 0 }, {}, backend, reason);
  std::unique_ptr<HttpClient> client = HttpClient::Create({});
  std::shared_ptr<HttpClientExchange> exchange;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Standins)

BOOST_FIXTURE_TEST_SUITE(Backend, BackendFixture)

// Guards against tests of at-most-once delivery that rely on wrong counts.
BOOST_AUTO_TEST_CASE(ItEchoesTheRequestAndCountsItsRuns)
{
  HttpFields fields = Fields("X-Request-Id", "r1");
  fields.Add("Idempotency-Key", "k1");
  const auto observer = Finish("POST", "/a?b", fields, "hello");
  const QJsonObject echo =
    QJsonDocument::fromJson(QByteArray::fromStdString(observer->body)).object();
  BOOST_TEST(echo.value("path").toString().toStdString() == "/a?b");
  BOOST_TEST(
    echo.value("body_sha256").toString().toStdString() ==
    "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824");
  BOOST_TEST(observer->head->fields.Find("X-Request-Id").value() == "r1");
  Finish("POST", "/a", fields);
  const QJsonObject runs = Runs();
  BOOST_TEST(runs.value("runs").toInt() == 2);
  BOOST_TEST(runs.value("requests").toObject().value("r1").toInt() == 2);
  BOOST_TEST(runs.value("keys").toObject().value("k1").toInt() == 2);
}

// Guards against a shed request that is counted as run, and against a cancelled
// request that keeps its slot.
BOOST_AUTO_TEST_CASE(ItShedsRequestsAboveItsSlotsWithoutRunningThem)
{
  SwitchTo("black-hole");
  const auto first = Start("GET", "/1");
  const auto firstExchange = exchange;
  const auto second = Start("GET", "/2");
  BOOST_TEST(WaitUntil([&] { return backend.BusySlots() == 2; }));
  BOOST_TEST(Status("/3") == 503);
  BOOST_TEST(Finish("GET", "/load")->body == R"({"busy":2,"slots":2})");
  BOOST_TEST(Runs().value("sheds").toInt() == 1);
  BOOST_TEST(Runs().value("runs").toInt() == 2);

  firstExchange->Cancel();
  BOOST_TEST(WaitUntil([&] { return backend.BusySlots() == 1; }));
  BOOST_TEST(Runs().value("cancellations").toInt() == 1);
  SwitchTo("healthy");
  BOOST_TEST(Status("/4") == 200);
  BOOST_TEST(!second->IsOver());
}

BOOST_AUTO_TEST_CASE(ItHonoursADeadline)
{
  SwitchTo("slow&factor=1000");
  BOOST_TEST(Status("/a", Fields("Request-Timeout-Ms", "20")) == 504);
  SwitchTo("healthy");
  BOOST_TEST(Status("/a", Fields("Request-Timeout-Ms", "1000")) == 200);
}

// Guards against a gray mode that the health endpoint reports, or that does not
// fail requests.
BOOST_AUTO_TEST_CASE(GrayModesAreNotReportedByTheHealthEndpoint)
{
  SwitchTo("errors&rate=1");
  BOOST_TEST(Status("/a") == 500);
  BOOST_TEST(Status("/health") == 200);

  SwitchTo("customer-errors&customer=acme");
  BOOST_TEST(Status("/a", Fields("Filbertbeam-Customer", "acme")) == 500);
  BOOST_TEST(Status("/a", Fields("Filbertbeam-Customer", "other")) == 200);

  SwitchTo("close");
  const auto closed = Finish("GET", "/a");
  BOOST_TEST(closed->failures == 1);
  BOOST_TEST(!closed->head);

  SwitchTo("truncate");
  for (const char* const target :
       { "/a", "/bytes/100000", "/bytes/100000?chunked" }) {
    const auto truncated = Finish("GET", target);
    BOOST_TEST(truncated->failures == 1);
    BOOST_TEST(truncated->head.has_value());
  }

  SwitchTo("flapping&period_ms=100");
  int successes = 0;
  int failures = 0;
  BOOST_TEST(WaitUntil([&] {
    ++(Status("/a") == 200 ? successes : failures);
    return successes > 0 && failures > 0;
  }));
}

BOOST_AUTO_TEST_CASE(InvalidModesAreRefused)
{
  for (const char* const query : { "",
                                   "mode=",
                                   "mode=odd",
                                   "mode=errors&rate=2",
                                   "mode=slow&factor=0",
                                   "mode=flapping&period_ms=0" }) {
    const auto observer = Finish("POST", std::string("/control?") + query);
    BOOST_TEST(observer->head->status == 400);
  }
}

BOOST_AUTO_TEST_CASE(ItSendsDeterministicBytes)
{
  for (const char* const target :
       { "/bytes/3000000", "/bytes/3000000?chunked" }) {
    const auto observer = Finish("GET", target);
    BOOST_TEST(observer->ends == 1);
    BOOST_REQUIRE(observer->body.size() == 3'000'000U);
    bool isCorrect = true;
    for (std::size_t i = 0; i < observer->body.size(); ++i) {
      isCorrect = isCorrect && observer->body[i] == static_cast<char>(i % 251);
    }
    BOOST_TEST(isCorrect);
  }
  BOOST_TEST(Status("/bytes/x") == 400);
}

// Guards against service times that cannot be reproduced from their seed.
BOOST_AUTO_TEST_CASE(TheSeedDeterminesTheServiceTimes)
{
  BackendSettings settings;
  settings.seed = 7;
  settings.serviceTimeSigma = 1;
  BackendApplication one(settings);
  BackendApplication other(settings);
  settings.coldTime = std::chrono::hours(1);
  settings.coldFactor = 5;
  BackendApplication cold(settings);
  for (int i = 0; i < 5; ++i) {
    const auto time = one.DrawServiceTime();
    BOOST_TEST(time.count() == other.DrawServiceTime().count());
    const auto difference = cold.DrawServiceTime() - 5 * time;
    // Each time is truncated to whole microseconds.
    BOOST_TEST(std::abs(difference.count()) <= 5);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
