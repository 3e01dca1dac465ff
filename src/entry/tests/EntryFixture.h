#pragma once

#include "FakeHttp.h"
#include "NullEventSink.h"

#include "base/Digest.h"
#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "entry/EntryService.h"
#include "relay/RelayFields.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertbeam::testing {

class FakeClaimRegistry final : public ClaimRegistry
{
public:
  void Claim(const ClaimRequest& aRequest, Instant, Callback aCallback) override
  {
    requests.push_back(aRequest);
    callback = std::move(aCallback);
    if (immediateResult) {
      callback(*immediateResult);
    }
  }
  void Complete(std::uint64_t,
                int aStatus,
                std::optional<StoredResponse> aResponse) override
  {
    completedStatus = aStatus;
    completedResponse = std::move(aResponse);
  }
  void Release(std::uint64_t) override { ++released; }
  void Abandon(std::uint64_t) override { ++abandoned; }
  int PendingWrites() const override { return 0; }

  // The result that every claim gets during the call. If it is not set, the
  // test calls the callback.
  std::optional<ClaimResult> immediateResult = Granted();
  std::vector<ClaimRequest> requests;
  Callback callback;
  std::optional<int> completedStatus;
  std::optional<StoredResponse> completedResponse;
  int released = 0;
  int abandoned = 0;

  static ClaimResult Granted()
  {
    ClaimResult result;
    result.decision = ClaimDecision::Granted;
    result.claimId = 1;
    return result;
  }
};

class FakeRequestSigner final : public RelayRequestSigner
{
public:
  void Sign(HttpRequestHead&, const Member&) override {}
};

// Creates a configuration with two services, each with one backend server in
// each of two failure domains, and a contract for the first service only.
inline std::shared_ptr<const Configuration>
TwoDomainConfiguration()
{
  Configuration::Content content;
  Service permits;
  permits.name = "permits";
  for (const char* domain : { "piarco", "chaguanas" }) {
    BackendServer server;
    server.name = std::string("permit-") + domain;
    server.address = "127.0.0.1";
    server.port = 9;
    server.region = "tt-north";
    server.domain = domain;
    server.slots = 4;
    permits.backendServers.push_back(server);
  }
  Service manuals = permits;
  manuals.name = "manuals";
  content.services = { permits, manuals };
  content.routes = { { "", "/permits", "permits", {} },
                     { "", "/once", "permits", { "GET" } },
                     { "", "/manuals", "manuals", {} } };
  content.contracts = {
    { "inspector", { Sha256Hex("key-1") }, { "permits" }, 10 }
  };
  return Configuration::Create(1, content);
}

// Creates a view of two hosts, one in each failure domain, that listen on
// aFirstPort and the port after it.
inline std::shared_ptr<const MembershipView>
TwoHostView(std::uint16_t aFirstPort = 1001)
{
  std::vector<Member> members(2);
  members[0].host = "entry-1";
  members[0].domain = "piarco";
  members[0].relay = { "127.0.0.1", aFirstPort };
  members[1].host = "entry-2";
  members[1].domain = "chaguanas";
  members[1].relay = { "127.0.0.1",
                       static_cast<std::uint16_t>(aFirstPort + 1) };
  for (Member& member : members) {
    member.region = "tt-north";
    member.incarnation = 1;
  }
  return MembershipView::Create("entry-1", members, false);
}

// An entry service whose caller, owners and claims are controlled by the test.
struct EntryFixture
{
  EntryFixture()
    : EntryFixture(client)
  {
  }

  // aClient carries the relayed requests in place of the fake one.
  explicit EntryFixture(HttpClient& aClient)
    : service(EntryContext{ aClient,
                            claims,
                            *limiter,
                            *retryBudget,
                            signer,
                            serviceLevel,
                            selector,
                            activeRelays,
                            metrics,
                            events,
                            clock,
                            random })
  {
    service.SetConfiguration(TwoDomainConfiguration());
    service.SetView(TwoHostView());
  }

  static HttpRequestHead Head(std::string_view aMethod,
                              std::string_view aTarget)
  {
    HttpRequestHead head;
    head.method = aMethod;
    head.target = aTarget;
    head.fields.Set("Host", "gateway");
    head.fields.Set("X-Api-Key", "key-1");
    return head;
  }

  // Sends a request with its whole body as a caller.
  std::shared_ptr<FakeServerExchange> Send(HttpRequestHead aHead,
                                           std::string_view aBody = {})
  {
    if (!aBody.empty()) {
      aHead.framing = BodyFraming::Length;
      aHead.contentLength = aBody.size();
    }
    auto exchange = std::make_shared<FakeServerExchange>(std::move(aHead));
    observer = service.OnRequest(exchange);
    if (!exchange->isFinished) {
      if (!aBody.empty()) {
        observer->OnRequestBody(aBody);
      }
      observer->OnRequestEnd();
    }
    return exchange;
  }

  static HttpResponseHead Refusal(int aStatus,
                                  std::string_view aReason,
                                  std::string_view aOutcome)
  {
    HttpResponseHead head;
    head.status = aStatus;
    head.fields.Set(kRefusalField, aReason);
    head.fields.Set(kOutcomeField, aOutcome);
    return head;
  }

  static HttpResponseHead Ok(std::uint64_t aLength)
  {
    HttpResponseHead head;
    head.status = 200;
    head.framing = BodyFraming::Length;
    head.contentLength = aLength;
    head.fields.Set(kOutcomeField, "ran");
    return head;
  }

  static bool HasStatusAndOutcome(const FakeServerExchange& aExchange,
                                  int aStatus,
                                  std::string_view aOutcome)
  {
    return aExchange.response.status == aStatus &&
           aExchange.body.find("\"outcome\":\"" + std::string(aOutcome) +
                               "\"") != std::string::npos;
  }

  ManualClock clock;
  SeededRandom random{ 1 };
  FakeHttpClient client;
  FakeClaimRegistry claims;
  std::unique_ptr<CustomerLimiter> limiter = CustomerLimiter::Create();
  std::unique_ptr<RetryBudget> retryBudget = RetryBudget::Create();
  FakeRequestSigner signer;
  NullEventSink events;
  ServiceLevelMeter serviceLevel;
  ShardSelector selector{ clock, random };
  ActiveRelays activeRelays;
  EntryMetrics metrics;
  EntryService service;
  std::shared_ptr<HttpRequestObserver> observer;
};

} // namespace filbertbeam::testing
