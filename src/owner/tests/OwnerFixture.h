#pragma once

#include "FakeHttp.h"
#include "NullEventSink.h"

#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "owner/OwnerService.h"
#include "relay/RelayFields.h"

#include <QCoreApplication>
#include <QElapsedTimer>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam::testing {

class FakeAuthenticator final : public RelayAuthenticator
{
public:
  bool Authenticate(const HttpRequestHead&, std::string& aReason) override
  {
    aReason = isAuthentic ? "" : "the signature does not match";
    return isAuthentic;
  }

  bool isAuthentic = true;
};

class NoInternalHandler final : public InternalRequestHandler
{
public:
  void HandleRequest(HttpServerExchange&) override {}
};

// Runs the event loop long enough for the decisions that are queued on it.
inline void
RunEventLoop()
{
  QElapsedTimer timer;
  timer.start();
  constexpr qint64 kDurationMs = 20;
  while (timer.elapsed() < kDurationMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
}

// An owner of one shard. Its backend servers have two slots each and the ports
// from that of aServer on.
struct OwnerSetup
{
  // aClient has to outlive the object.
  OwnerSetup(HttpClient& aClient, const Endpoint& aServer)
    : address(aServer)
    , service(authenticator, internalHandler, aClient, clock, random, events)
  {
    Configure(false);
    SetOwner(true);
  }

  ~OwnerSetup()
  {
    // Ends the requests that are still running, with their timers.
    for (const auto& request : requests) {
      request->OnRequestClosed(false);
    }
  }
  OwnerSetup(const OwnerSetup&) = delete;
  OwnerSetup& operator=(const OwnerSetup&) = delete;

  void Configure(bool aIsLeaving,
                 std::optional<int> aShedStatus = 503,
                 int aServers = 1)
  {
    Service wholesale;
    wholesale.name = "wholesale";
    wholesale.shedStatus = aShedStatus;
    for (int i = 0; i < aServers; ++i) {
      BackendServer server;
      server.name = "wholesale-" + std::to_string(i + 1);
      server.address = address.address;
      server.port = static_cast<std::uint16_t>(address.port + i);
      server.region = "th-north";
      server.domain = "th-north-a";
      server.slots = 2;
      server.isLeaving = aIsLeaving;
      wholesale.backendServers.push_back(server);
    }
    Configuration::Content content;
    content.services = { wholesale };
    service.SetConfiguration(Configuration::Create(++revision, content));
  }

  void SetOwner(bool aIsOwner)
  {
    std::vector<Member> members(2);
    members[0].host = "self";
    members[1].host = "other";
    for (Member& member : members) {
      member.region = "th-north";
      member.domain = "th-north-a";
      member.incarnation = 1;
    }
    members[aIsOwner ? 1 : 0].state = HostState::Unreachable;
    service.SetView(MembershipView::Create("self", members, false));
  }

  // Sends a request of an entry host; only GET is idempotent.
  std::shared_ptr<FakeServerExchange> Send(
    std::string_view aMethod,
    std::string_view aRemaining = "1000",
    BodyFraming aFraming = BodyFraming::None,
    std::string_view aRequestId = "r1")
  {
    HttpRequestHead head;
    head.framing = aFraming;
    head.method = aMethod;
    head.target = "/photos/1";
    head.fields.Set(kShardField, "wholesale/th-north-a/0");
    head.fields.Set(kCustomerField, "partner");
    head.fields.Set(kPromiseField, "10");
    head.fields.Set(kClassField, "in-contract");
    head.fields.Set(kIdempotentField, aMethod == "GET" ? "1" : "0");
    head.fields.Set(kRemainingField, aRemaining);
    head.fields.Set(kRequestIdField, aRequestId);
    auto exchange = std::make_shared<FakeServerExchange>(head);
    observer = service.OnRequest(exchange);
    requests.push_back(observer);
    RunEventLoop();
    return exchange;
  }

  static bool HasRefusal(const FakeServerExchange& aExchange,
                         std::string_view aReason,
                         std::string_view aOutcome)
  {
    const HttpFields& fields = aExchange.response.fields;
    return fields.Find(kRefusalField) == aReason &&
           fields.Find(kOutcomeField) == aOutcome;
  }

  const Endpoint address;
  FakeAuthenticator authenticator;
  NoInternalHandler internalHandler;
  NullEventSink events;
  ManualClock clock;
  SeededRandom random{ 1 };
  OwnerService service;
  std::uint64_t revision = 0;
  // Of the last request, and of all.
  std::shared_ptr<HttpRequestObserver> observer;
  std::vector<std::shared_ptr<HttpRequestObserver>> requests;
};

} // namespace filbertbeam::testing
