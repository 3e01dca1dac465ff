#pragma once

#include "base/Digest.h"
#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "gateway/GatewayService.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/FakeHttp.h"
#include "membership/DatagramSocket.h"

#include <boost/test/unit_test.hpp>

namespace filbertbeam::testing {

// Header fields that only the tests use.
class TestHeaderCodec final : public ExchangeHeaderCodec
{
public:
  CallerHeaders ReadCallerHeaders(const HttpRequestHead& aHead) const override
  {
    CallerHeaders headers;
    headers.requestId = aHead.fields.Find("Id").value_or("");
    headers.keySha256 = aHead.fields.FindOnly("Key").value_or("");
    headers.hasKey = aHead.fields.Find("Key").has_value();
    if (const auto timeout = aHead.fields.Find("Timeout-Ms")) {
      headers.timeout =
        std::chrono::milliseconds(std::atoi(std::string(*timeout).c_str()));
    }
    return headers;
  }
  void WriteAttemptHeaders(HttpRequestHead& aHead,
                           const AttemptHeaders& aHeaders) const override
  {
    aHead.fields.Set("Server-Id", aHeaders.server);
    if (aHeaders.hasWorkspaces) {
      aHead.fields.Remove("Key");
      aHead.fields.Set("Workspace", aHeaders.workspace);
    }
    aHead.fields.Set(
      "Timeout-Ms",
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                       aHeaders.remaining)
                       .count()));
  }
  ResponseHeaders ReadResponseHeaders(
    const HttpResponseHead& aHead) const override
  {
    ResponseHeaders headers;
    headers.requestId = aHead.fields.Find("Id").value_or("");
    headers.isNotExecuted = aHead.fields.Find("Not-Run").has_value();
    headers.isSigned = aHead.fields.Find("Proof").has_value();
    headers.isLeaving = aHead.fields.Find("Leaving").has_value();
    if (const auto pause = aHead.fields.Find("Pause-Ms")) {
      headers.retryAfter =
        std::chrono::milliseconds(std::atoi(std::string(*pause).c_str()));
    }
    return headers;
  }
  void WriteLocalResponseHeaders(HttpResponseHead& aHead,
                                 std::string_view aRequestId) const override
  {
    aHead.fields.Set("Id", aRequestId);
  }
};

// A clock that jumps when the host is paused, as the system's does.
class PausableClock final : public Clock
{
public:
  Instant Now() const override { return system_.Now() + paused_; }
  WallTime WallNow() const override { return system_.WallNow() + paused_; }
  void Pause(Duration aTime) { paused_ += aTime; }

private:
  SystemClock system_;
  Duration paused_{};
};

// A host that owns every service, with fake backend servers. The test acts as
// the callers and the servers.
struct GatewayFixture
{
  GatewayFixture()
  {
    SelectionServiceSettings settings;
    settings.host = "host";
    settings.domain = "piarco";
    settings.listen = { "127.0.0.1", 0 };
    settings.budget = kBudget;
    std::string reason;
    selection = SelectionService::Create(settings, clock, random, reason);
    BOOST_TEST_REQUIRE(selection != nullptr, reason);
    selection->SetHosts({});
    service = std::make_unique<GatewayService>(
      GatewayContext{ client,
                      *selection,
                      memory,
                      headerCodec,
                      metrics,
                      clock,
                      random,
                      WeightedSplit(random),
                      {},
                      {},
                      nullptr,
                      std::make_shared<BackendDirectory>(
                        0, std::vector<BackendServerRecord>()) });
  }

  // Returns the name of a host that ranks before this one.
  static std::string NameOfOwner()
  {
    const std::uint64_t key = StableHash("permits");
    int number = 0;
    while (StableHash("owner-" + std::to_string(number), key) <=
           StableHash("host", key)) {
      ++number;
    }
    return "owner-" + std::to_string(number);
  }

  // Starts another host, which becomes the owner of the routes' service.
  std::unique_ptr<SelectionService> StartOwner()
  {
    SelectionServiceSettings settings;
    settings.host = NameOfOwner();
    settings.domain = "piarco";
    settings.listen = { "127.0.0.1", 0 };
    settings.budget = kBudget;
    std::string reason;
    auto owner = SelectionService::Create(settings, clock, random, reason);
    if (owner) {
      selection->SetHosts(
        { { settings.host, settings.domain, owner->LocalEndpoint() } });
    }
    return owner;
  }

  // Starts an owner that selects "server-0" for each request.
  std::unique_ptr<SelectionService> StartOwnerWithServer()
  {
    auto owner = StartOwner();
    BOOST_TEST_REQUIRE(owner != nullptr);
    BackendServerRecord record;
    record.id = "server-0";
    record.service = "permits";
    record.domain = "piarco";
    owner->SetDirectory(std::make_shared<BackendDirectory>(
      1, std::vector<BackendServerRecord>{ record }));
    return owner;
  }

  // Starts an owner of which the test gives the responses.
  std::unique_ptr<DatagramSocket> StartScriptedOwner(
    std::function<void(const SelectionQuery&)> aOnQuery)
  {
    std::string reason;
    auto socket = DatagramSocket::Create({ "127.0.0.1", 0 }, reason);
    BOOST_TEST_REQUIRE(socket != nullptr, reason);
    socket->SetHandler(
      [onQuery = std::move(aOnQuery)](const Endpoint&, ByteView aBytes) {
        const auto message = DecodeSelectionMessage(aBytes);
        if (const auto* query =
              message ? std::get_if<SelectionQuery>(&*message) : nullptr) {
          onQuery(*query);
        }
      });
    selection->SetHosts(
      { { NameOfOwner(), "piarco", socket->LocalEndpoint() } });
    return socket;
  }

  static Route MakeRoute(std::string aPrefix, bool aIsIdempotent)
  {
    Route route;
    route.name = aPrefix;
    route.host = "h";
    route.pathPrefix = std::move(aPrefix);
    route.isIdempotent = aIsIdempotent;
    route.timeout = std::chrono::milliseconds(2'000);
    route.latencyObjective = std::chrono::milliseconds(400);
    route.maxAttempts = 2;
    route.targets = { { "permits", 1 } };
    return route;
  }

  void SetRoutes(std::uint64_t aVersion, std::vector<Route> aRoutes)
  {
    std::string reason;
    const auto table =
      RoutingTable::Create(aVersion, std::move(aRoutes), {}, reason);
    BOOST_TEST_REQUIRE(table != nullptr, reason);
    service->SetRouting(table);
  }

  // Returns servers with different addresses; the first aDraining are draining.
  static std::vector<BackendServerRecord>
  MakeServers(int aCount, int aDraining = 0, std::int64_t aStartedAt = 0)
  {
    std::vector<BackendServerRecord> records;
    for (int i = 0; i < aCount; ++i) {
      BackendServerRecord record;
      record.id = "server-" + std::to_string(i);
      record.service = "permits";
      record.domain = "piarco";
      record.address = { "127.0.0.1", static_cast<std::uint16_t>(9000 + i) };
      record.slots = 4;
      record.startedAt = aStartedAt;
      record.isDraining = i < aDraining;
      records.push_back(record);
    }
    return records;
  }

  void SetDirectory(const std::vector<BackendServerRecord>& aServers) const
  {
    service->SetDirectory(std::make_shared<BackendDirectory>(1, aServers));
  }

  void SetServers(int aCount, int aDraining = 0, std::int64_t aStartedAt = 0)
  {
    SetDirectory(MakeServers(aCount, aDraining, aStartedAt));
  }

  // Sets three servers and two routes: "/safe/" is idempotent, "/once/" is not.
  void SetDefaultRoutesAndServers()
  {
    SetRoutes(1, { MakeRoute("/safe/", true), MakeRoute("/once/", false) });
    SetServers(3);
  }

  std::shared_ptr<FakeServerExchange> Request(const std::string& aTarget,
                                              int aTimeoutMs = 2'000,
                                              const std::string& aBody = "")
  {
    HttpRequestHead head;
    head.method = aBody.empty() ? "GET" : "POST";
    head.target = aTarget;
    head.fields.Add("Host", "h");
    head.fields.Add("Id", "request-1");
    head.fields.Add("Timeout-Ms", std::to_string(aTimeoutMs));
    auto exchange = std::make_shared<FakeServerExchange>(head);
    observer = service->OnRequest(exchange);
    if (observer) {
      if (!aBody.empty()) {
        observer->OnRequestBody(aBody);
      }
      observer->OnRequestEnd();
    }
    return exchange;
  }

  static HttpResponseHead MakeResponse(int aStatus, bool aIsSigned = true)
  {
    HttpResponseHead head;
    head.status = aStatus;
    head.fields.Add("Id", "request-1");
    if (aIsSigned) {
      head.fields.Add("Proof", "x");
    }
    return head;
  }

  static HttpResponseHead WithoutId(HttpResponseHead aHead)
  {
    aHead.fields.Remove("Id");
    return aHead;
  }

  static HttpResponseHead MakeNotRunResponse()
  {
    return WithNotRun(MakeResponse(503, false));
  }

  // Adds the statement of a server that it did not run the request.
  static HttpResponseHead WithNotRun(HttpResponseHead aHead)
  {
    aHead.fields.Add("Not-Run", "1");
    return aHead;
  }

  static constexpr ExtraAttemptLimits kBudget{ 0.2,
                                               200,
                                               std::chrono::seconds(10) };

  PausableClock clock;
  SeededRandom random{ 5 };
  MemoryBudget memory{ 16 * 1024 * 1024 };
  FakeHttpClient client;
  TestHeaderCodec headerCodec;
  GatewayMetrics metrics;
  std::unique_ptr<SelectionService> selection;
  std::unique_ptr<GatewayService> service;
  std::shared_ptr<HttpRequestObserver> observer;
};

} // namespace filbertbeam::testing
