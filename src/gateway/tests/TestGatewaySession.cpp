#include "gateway/tests/GatewayFixture.h"

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(ARequest, GatewayFixture)

BOOST_AUTO_TEST_CASE(IsForwardedAndItsResponseIsReturnedUnchanged)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/once/1?a=b", 1'500, "body");
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  const FakeClientExchange& sent = client.Last();
  BOOST_TEST(sent.head.method == "POST");
  BOOST_TEST(sent.head.target == "/once/1?a=b");
  BOOST_TEST(*sent.head.fields.Find("Id") == "request-1");
  BOOST_TEST(sent.head.fields.Find("Server-Id")->starts_with("server-"));
  const int left =
    std::atoi(std::string(*sent.head.fields.Find("Timeout-Ms")).c_str());
  BOOST_TEST(left > 1'000);
  BOOST_TEST(left <= 1'500);
  BOOST_TEST(sent.body == "body");
  client.Last().Respond(MakeResponse(201), "the response");
  BOOST_TEST(caller->response.status == 201);
  BOOST_TEST(*caller->response.fields.Find("Proof") == "x");
  BOOST_TEST(caller->body == "the response");
  BOOST_TEST(caller->isFinished);
}

BOOST_AUTO_TEST_SUITE(WithAKey)

struct KeyFixture : GatewayFixture
{
  KeyFixture()
  {
    SetWorkspaces(1, { MakeContract("north", "key-1") });
    SetServers(3);
  }

  static Contract MakeContract(std::string aName, std::string aKey)
  {
    Contract contract;
    contract.customer = std::move(aName);
    contract.keySha256 = { std::move(aKey) };
    return contract;
  }

  void SetWorkspaces(std::uint64_t aVersion,
                     std::vector<Contract> aContracts,
                     bool aHasPublicRoute = true)
  {
    Route open = MakeRoute("/open/", true);
    open.isPublic = aHasPublicRoute;
    std::string reason;
    service->SetRouting(RoutingTable::Create(
      aVersion,
      { MakeRoute("/safe/", true), open },
      {},
      reason,
      ContractTable::Create(std::move(aContracts), reason)));
  }

  std::shared_ptr<FakeServerExchange> Ask(const std::string& aTarget,
                                          const std::vector<std::string>& aKeys)
  {
    HttpRequestHead head;
    head.method = "GET";
    head.target = aTarget;
    head.fields.Add("Host", "h");
    head.fields.Add("Id", "request-1");
    head.fields.Add("Workspace", "south");
    for (const std::string& key : aKeys) {
      head.fields.Add("Key", key);
    }
    auto exchange = std::make_shared<FakeServerExchange>(head);
    observer = service->OnRequest(exchange);
    if (observer) {
      observer->OnRequestEnd();
    }
    return exchange;
  }
};

// Guards against a server that is told another workspace, or the key.
BOOST_FIXTURE_TEST_CASE(TellsTheServerTheWorkspaceInsteadOfIt, KeyFixture)
{
  Ask("/safe/1", { "key-1" });
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  BOOST_TEST(*client.Last().head.fields.FindOnly("Workspace") == "north");
  BOOST_TEST(!client.Last().head.fields.Find("Key"));
}

BOOST_FIXTURE_TEST_CASE(ThatNobodyHoldsIsRefusedBeforeAnyAttempt, KeyFixture)
{
  for (const std::vector<std::string>& keys :
       std::vector<std::vector<std::string>>{
         {}, { "key-2" }, { "key-1", "key-1" } }) {
    const auto caller = Ask("/safe/1", keys);
    BOOST_TEST(caller->response.status == 401);
    BOOST_TEST(*caller->response.fields.Find("WWW-Authenticate") == "Bearer");
  }
  BOOST_TEST(client.exchanges.empty());
}

BOOST_FIXTURE_TEST_CASE(IsNotNeededOnAPublicRoute, KeyFixture)
{
  Ask("/open/1", {});
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  BOOST_TEST(client.Last().head.fields.Find("Workspace").value_or("").empty());
}

// Guards against a request that runs though no configuration ever held its key.
BOOST_FIXTURE_TEST_CASE(ThatNobodyHoldsIsRefusedOnAPublicRoute, KeyFixture)
{
  for (const std::vector<std::string>& keys :
       std::vector<std::vector<std::string>>{ { "key-2" },
                                              { "key-1", "key-1" } }) {
    BOOST_TEST(Ask("/open/1", keys)->response.status == 401);
  }
  BOOST_TEST(client.exchanges.empty());
  Ask("/open/1", { "key-1" });
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  BOOST_TEST(*client.Last().head.fields.FindOnly("Workspace") == "north");
}

// Guards against a request without a key that waits for its server while its
// route ceases to be public.
BOOST_FIXTURE_TEST_CASE(IsNeededOnceItsRouteIsNoLongerPublic, KeyFixture)
{
  const auto owner = StartScriptedOwner([](const SelectionQuery&) {});
  const auto caller = Ask("/open/1", {});
  SetWorkspaces(2, { MakeContract("north", "key-1") }, false);
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; }));
  BOOST_TEST(caller->response.status == 401);
  BOOST_TEST(client.exchanges.empty());
}

// Guards against a server that is told a workspace that has lost the key.
BOOST_FIXTURE_TEST_CASE(ThatMovesWhileItWaitsTellsItsNewWorkspace, KeyFixture)
{
  const auto owner = StartScriptedOwner([](const SelectionQuery&) {});
  Ask("/safe/1", { "key-1" });
  SetWorkspaces(
    2, { MakeContract("north", "key-2"), MakeContract("west", "key-1") });
  BOOST_TEST(WaitUntil([&] { return !client.exchanges.empty(); }));
  BOOST_TEST(*client.Last().head.fields.FindOnly("Workspace") == "west");
}

// Guards against a repetition by a key that has been taken away, and against a
// response that denies the first attempt.
BOOST_FIXTURE_TEST_CASE(ThatIsTakenAwayStopsTheRepetition, KeyFixture)
{
  const auto caller = Ask("/safe/1", { "key-1" });
  SetWorkspaces(2, { MakeContract("north", "key-2") });
  client.Last().anyByteSent = true;
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; }));
  BOOST_TEST(caller->response.status == 502);
  BOOST_TEST(client.exchanges.size() == 1U);
  const std::string counters = metrics.Format();
  BOOST_TEST(counters.find("unauthorized_total 0\n") != std::string::npos);
  BOOST_TEST(counters.find("failed_unknown_total 1\n") != std::string::npos);
}

// Guards against a host out of touch that goes by keys which may have been
// taken away, though its deployment is strict.
BOOST_FIXTURE_TEST_CASE(IsNotTrustedByAStrictHostOutOfTouch, KeyFixture)
{
  service->SetKeyTrustTime(std::chrono::seconds(5));
  BOOST_TEST(Ask("/safe/1", { "key-1" })->response.status == 503);
  service->ConfirmKeys(clock.Now());
  Ask("/safe/1", { "key-1" });
  BOOST_TEST(client.exchanges.size() == 1U);
  clock.Pause(std::chrono::seconds(6));
  const auto caller = Ask("/safe/1", { "key-1" });
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(*caller->response.fields.Find("Retry-After") == "0.250");
  BOOST_TEST(Ask("/safe/1", {})->response.status == 401);
  Ask("/open/1", {});
  BOOST_TEST(client.exchanges.size() == 2U);
}

// Guards against a request that waits for its server while its key is taken
// away.
BOOST_FIXTURE_TEST_CASE(ThatIsTakenAwayWhileItWaitsStopsTheRequest, KeyFixture)
{
  const auto owner = StartScriptedOwner([](const SelectionQuery&) {});
  const auto caller = Ask("/safe/1", { "key-1" });
  SetWorkspaces(2, { MakeContract("north", "key-2") });
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; }));
  BOOST_TEST(caller->response.status == 401);
  BOOST_TEST(client.exchanges.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARequestOfALimitedWorkspace)

struct LimitFixture : WithAKey::KeyFixture
{
  LimitFixture()
  {
    Contract contract = MakeContract("north", "key-1");
    contract.requestsPerSecond = 0.1;
    SetWorkspaces(2, { contract, MakeContract("west", "key-3") });
  }

  // Sends requests until one is refused, and returns that one.
  std::shared_ptr<FakeServerExchange> ExhaustLimit()
  {
    constexpr int kMoreThanTheLimit = 50;
    for (int i = 0; i < kMoreThanTheLimit; ++i) {
      auto caller = Ask("/safe/1", { "key-1" });
      if (caller->isFinished) {
        return caller;
      }
    }
    return nullptr;
  }

  // Makes a silent host the home of every workspace. The test responds for it.
  void StartHome()
  {
    std::string reason;
    home = DatagramSocket::Create({ "127.0.0.1", 0 }, reason);
    BOOST_TEST_REQUIRE(home != nullptr, reason);
    home->SetHandler([this](const Endpoint& aSender, ByteView aBytes) {
      const auto message = DecodeSelectionMessage(aBytes);
      if (const auto* query =
            message ? std::get_if<QuotaQuery>(&*message) : nullptr) {
        queries.emplace_back(aSender, *query);
      }
    });
    // Hosts with more cores rank first.
    constexpr double kCores = 1e6;
    selection->Quota().OnPeer("home", "piarco", home->LocalEndpoint(), kCores);
  }

  void Respond(const QuotaGrant& aGrant)
  {
    BOOST_TEST_REQUIRE(WaitUntil([this] { return !queries.empty(); }));
    const auto [sender, query] = queries.front();
    queries.erase(queries.begin());
    home->Send(
      sender,
      EncodeSelectionMessage(QuotaResponse{ query.queryId, { aGrant } }));
  }

  std::unique_ptr<DatagramSocket> home;
  std::vector<std::pair<Endpoint, QuotaQuery>> queries;
};

BOOST_FIXTURE_TEST_CASE(IsRefusedBeyondItBeforeItsBodyIsRead, LimitFixture)
{
  const auto caller = ExhaustLimit();
  BOOST_TEST_REQUIRE(caller != nullptr);
  BOOST_TEST(caller->response.status == 429);
  BOOST_TEST(caller->response.fields.Find("Retry-After").has_value());
  BOOST_TEST(observer == nullptr);
  // The others are served.
  BOOST_TEST(!Ask("/safe/1", { "key-3" })->isFinished);
}

BOOST_FIXTURE_TEST_CASE(WaitsForItsHome, LimitFixture)
{
  StartHome();
  const auto caller = Ask("/safe/1", { "key-1" });
  BOOST_TEST(client.exchanges.empty());
  Respond({ "north", QuotaStatus::Decided, 1, {}, {} });
  BOOST_TEST(WaitUntil([&] { return client.exchanges.size() == 1U; }));

  const auto refused = Ask("/safe/1", { "key-1" });
  Respond({ "north", QuotaStatus::Decided, 0, 300ms, 200ms });
  BOOST_TEST(WaitUntil([&] { return refused->isFinished; }));
  BOOST_TEST(refused->response.status == 429);
  BOOST_TEST(client.exchanges.size() == 1U);
}

// Guards against a failure of the home that becomes one of its callers.
BOOST_FIXTURE_TEST_CASE(IsServedWithoutItsHome, LimitFixture)
{
  StartHome();
  Ask("/safe/1", { "key-1" });
  BOOST_TEST(WaitUntil([&] { return client.exchanges.size() == 1U; }));
}

BOOST_FIXTURE_TEST_CASE(GivesItsTokenBackWhenNoServerGetsIt, LimitFixture)
{
  SetDirectory({});
  StartHome();
  const auto caller = Ask("/safe/1", { "key-1" });
  Respond({ "north", QuotaStatus::Decided, 1, {}, {} });
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; }));
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !queries.empty(); }));
  BOOST_TEST(queries.front().second.demands.front().returned == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutARouteOrServer)

// Guards against a "not found" response from a host that has not read a
// configuration yet.
BOOST_AUTO_TEST_CASE(IsRefusedWithRetryAfterBeforeTheFirstConfiguration)
{
  const auto caller = Request("/safe/1");
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(caller->response.fields.Find("Retry-After").has_value());
}

BOOST_AUTO_TEST_CASE(IsNotFoundWhenNoRouteMatches)
{
  SetDefaultRoutesAndServers();
  BOOST_TEST(Request("/other/1")->response.status == 404);
  BOOST_TEST(client.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(IsRefusedWhenAllServersAreDraining)
{
  SetDefaultRoutesAndServers();
  SetServers(2, 2);
  const auto caller = Request("/once/1");
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(client.exchanges.empty());
}

// Guards against an owner that has not yet read that a server is draining. The
// host that sends the request checks the selected server against its own
// directory.
BOOST_AUTO_TEST_CASE(IsNotSentToADrainingServerThatTheOwnerSelects)
{
  SetDefaultRoutesAndServers();
  SetServers(1);
  const auto owner = StartOwnerWithServer();
  Request("/once/1");
  BOOST_TEST_REQUIRE(WaitUntil([&] { return client.exchanges.size() == 1; }));
  SetServers(1, 1);
  const auto caller = Request("/once/2");
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; }));
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(metrics.Format().find("unusable_choices_total 1\n") !=
             std::string::npos);
}

// Guards against a host that returns to the routes of an older configuration.
BOOST_AUTO_TEST_CASE(IsNeverRoutedByAnOlderConfiguration)
{
  SetDefaultRoutesAndServers();
  SetRoutes(5, { MakeRoute("/new/", true) });
  SetRoutes(4, { MakeRoute("/safe/", true) });
  BOOST_TEST(Request("/safe/1")->response.status == 404);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsNotIdempotent)

struct Failure
{
  const char* description;
  std::function<void(FakeClientExchange&)> simulate;
  // Status of the final response.
  bool isRetried;
  int status;
};

// Guards against a second attempt without proof that the first did not run, and
// against a "not run" response without that proof.
BOOST_AUTO_TEST_CASE(IsRetriedOnlyWithProofThatItDidNotRun)
{
  const auto respond = [](const HttpResponseHead& aHead) {
    return [aHead](FakeClientExchange& aSent) { aSent.Respond(aHead, "x"); };
  };
  HttpResponseHead encoded = MakeResponse(200);
  encoded.fields.Add("Content-Encoding", "gzip");
  const Failure failures[] = {
    { "the server states that the request did not run",
      respond(MakeNotRunResponse()),
      true,
      503 },
    { "another server has the address", respond(MakeResponse(421)), true, 503 },
    { "the request never left this host",
      [](FakeClientExchange& aSent) { aSent.Fail(HttpFailureKind::Connect); },
      true,
      503 },
    { "the connection closed after the request was sent",
      [](FakeClientExchange& aSent) {
        aSent.anyByteSent = true;
        aSent.Fail(HttpFailureKind::Closed);
      },
      false,
      502 },
    { "the response is malformed",
      [](FakeClientExchange& aSent) {
        aSent.anyByteSent = true;
        aSent.Fail(HttpFailureKind::Malformed);
      },
      false,
      502 },
    { "the server failed", respond(MakeResponse(500)), false, 500 },
    { "a refusal without proof", respond(MakeResponse(503)), false, 502 },
    { "too many requests, without proof",
      respond(MakeResponse(429)),
      false,
      502 },
    { "a request timeout, without proof",
      respond(MakeResponse(408)),
      false,
      502 },
    { "a refusal that names no request",
      respond(WithoutId(MakeNotRunResponse())),
      false,
      502 },
    { "another server, without naming the request",
      respond(WithoutId(MakeResponse(421))),
      false,
      502 },
    { "a success that names no request",
      respond(WithoutId(MakeResponse(200))),
      false,
      502 },
    { "a failure that names no request",
      respond(WithoutId(MakeResponse(500))),
      false,
      502 },
    { "a success without the signature of its server",
      respond(MakeResponse(200, false)),
      false,
      502 },
    { "a success with a content encoding", respond(encoded), false, 502 },
    { "a signed success that states that the request did not run",
      respond(WithNotRun(MakeResponse(200))),
      false,
      200 },
    { "a success that states that the request did not run",
      respond(WithNotRun(MakeResponse(200, false))),
      false,
      502 },
    { "a failure that states that the request did not run",
      respond(WithNotRun(MakeResponse(500))),
      false,
      500 },
    { "a timeout that states that the request did not run",
      respond(WithNotRun(MakeResponse(504))),
      false,
      504 },
    { "a request timeout that states that the request did not run",
      respond(WithNotRun(MakeResponse(408, false))),
      true,
      503 },
    { "too many requests, with the statement that the request did not run",
      respond(WithNotRun(MakeResponse(429, false))),
      true,
      503 },
    { "a bad request, with the statement that it did not run",
      respond(WithNotRun(MakeResponse(400, false))),
      true,
      503 },
  };
  for (const Failure& failure : failures) {
    BOOST_TEST_CONTEXT(failure.description)
    {
      SetDefaultRoutesAndServers();
      client.exchanges.clear();
      const auto caller = Request("/once/1");
      BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
      failure.simulate(client.Last());
      BOOST_TEST_REQUIRE(client.exchanges.size() ==
                         (failure.isRetried ? 2U : 1U));
      if (failure.isRetried) {
        BOOST_TEST(caller->heads == 0);
        BOOST_TEST(
          (client.exchanges[0]->server != client.exchanges[1]->server));
        // An attempt that never left this host is not counted.
        while (!caller->isFinished && client.exchanges.size() <= 3) {
          client.Last().Respond(MakeNotRunResponse());
        }
      }
      BOOST_TEST(caller->response.status == failure.status);
      BOOST_TEST(caller->isFinished);
      BOOST_TEST(caller->response.fields.Find("Retry-After").has_value() ==
                 (failure.status == 503));
    }
  }
}

// Guards against two attempts that share a connection, where a late copy of the
// response to the first would be taken for the response to the second.
BOOST_AUTO_TEST_CASE(NamesItselfToTheClientInEachAttempt)
{
  SetDefaultRoutesAndServers();
  Request("/once/1");
  client.Last().Respond(MakeNotRunResponse());
  BOOST_TEST_REQUIRE(client.exchanges.size() == 2U);
  for (const auto& attempt : client.exchanges) {
    BOOST_TEST((attempt->options.requestId == "request-1"));
  }
}

// Guards against refusals by servers that no counter shows.
BOOST_AUTO_TEST_CASE(CountsEachRefusalOfAServer)
{
  SetDefaultRoutesAndServers();
  Request("/once/1");
  client.Last().Respond(MakeNotRunResponse());
  client.Last().Respond(MakeResponse(421));
  BOOST_TEST(client.exchanges.size() == 2U);
  BOOST_TEST(metrics.Format().find("refused_attempts_total 2\n") !=
             std::string::npos);
}

// Guards against more extra attempts than the budget allows: one whose server
// could not be reached was returned to it, and its replacement was free.
BOOST_AUTO_TEST_CASE(PaysForTheReplacementOfAnExtraAttempt)
{
  SetDefaultRoutesAndServers();
  Request("/once/1");
  client.Last().Respond(MakeNotRunResponse());
  client.Last().Fail(HttpFailureKind::Connect);
  BOOST_TEST(client.exchanges.size() == 3U);
  BOOST_TEST(metrics.Format().find("repeats_total 2\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(PaysNothingForTheReplacementOfAFirstAttempt)
{
  SetDefaultRoutesAndServers();
  Request("/once/1");
  client.Last().Fail(HttpFailureKind::Connect);
  BOOST_TEST(client.exchanges.size() == 2U);
  BOOST_TEST(metrics.Format().find("repeats_total 0\n") != std::string::npos);
}

// Guards against cancelling an unresponsive server too early or never, and
// against a response that states "not run" without proof.
BOOST_AUTO_TEST_CASE(TimesOutAtItsDeadline)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/once/1", 150);
  client.Last().anyByteSent = true;
  RunFor(std::chrono::milliseconds(100));
  BOOST_TEST(caller->heads == 0);
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; },
                       std::chrono::milliseconds(400)));
  BOOST_TEST(caller->response.status == 504);
  BOOST_TEST(client.Last().isCancelled);
  BOOST_TEST(client.exchanges.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsRefusedAtItsDeadlineWhenItWasNotSent)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/once/1", 100);
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; },
                       std::chrono::milliseconds(400)));
  BOOST_TEST(caller->response.status == 503);
}

// Guards against the second copy of a refusal, which a server may send on any
// of its connections, as proof that a later attempt at its address did not run.
BOOST_AUTO_TEST_CASE(IsSentToEachAddressOnce)
{
  Route route = MakeRoute("/once/", false);
  route.maxAttempts = 5;
  SetRoutes(1, { route });
  std::vector<BackendServerRecord> records = MakeServers(4);
  records[1].address = records[0].address;
  records[3].address = records[2].address;
  for (const int status : { 503, 421 }) {
    SetDirectory(records);
    const auto caller = Request("/once/1");
    const Endpoint first = client.Last().server;
    client.Last().Respond(WithNotRun(MakeResponse(status)));
    BOOST_TEST((client.Last().server != first));
    client.Last().Respond(WithNotRun(MakeResponse(status)));
    BOOST_TEST(caller->response.status == 503);
  }
  BOOST_TEST(client.exchanges.size() == 4U);
}

// As above, for a server whose address has changed since its owner chose it.
BOOST_AUTO_TEST_CASE(IsSentToEachAddressOnceIfAServerMovesThere)
{
  SetDefaultRoutesAndServers();
  std::vector<BackendServerRecord> records = MakeServers(2);
  const auto owner = StartOwner();
  BOOST_TEST_REQUIRE(owner != nullptr);
  // Its budget counts from here on.
  owner->SetHosts({});
  owner->SetDirectory(std::make_shared<BackendDirectory>(1, records));
  SetDirectory(records);
  const auto caller = Request("/once/1");
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !client.exchanges.empty(); },
                               std::chrono::milliseconds(500)));
  client.Last().Respond(MakeNotRunResponse());
  for (BackendServerRecord& record : records) {
    record.address = client.Last().server;
  }
  SetDirectory(records);
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; },
                       std::chrono::milliseconds(500)));
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(client.exchanges.size() == 1U);
}

// Guards against a host that was paused and sends a request whose caller no
// longer waits: the owner's selection arrived during the pause.
BOOST_AUTO_TEST_CASE(IsNotSentAfterAPauseThatOutlastsItsDeadline)
{
  SetDefaultRoutesAndServers();
  SetServers(1);
  const auto owner = StartOwnerWithServer();
  const auto caller = Request("/once/1", 1'000);
  clock.Pause(std::chrono::seconds(3));
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; },
                       std::chrono::milliseconds(500)));
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(client.exchanges.empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a request that is lost on an idle connection to a server that
// has died.
BOOST_FIXTURE_TEST_CASE(UsesANewConnectionUnlessItsServerRespondedRecently,
                        GatewayFixture)
{
  SetDefaultRoutesAndServers();
  SetServers(1);
  Request("/once/1");
  BOOST_TEST(client.Last().options.freshConnection);
  client.Last().Respond(MakeResponse(200));
  Request("/once/2");
  BOOST_TEST(!client.Last().options.freshConnection);
  client.Last().Respond(MakeResponse(200));
  RunFor(std::chrono::milliseconds(700));
  Request("/once/3");
  BOOST_TEST(client.Last().options.freshConnection);
  Request("/safe/1");
  BOOST_TEST(!client.Last().options.freshConnection);
}

BOOST_AUTO_TEST_SUITE(ThatIsIdempotent)

BOOST_AUTO_TEST_CASE(IsRetriedAtAnotherServerAfterAFailure)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/safe/1");
  client.Last().Respond(MakeResponse(500), "failed");
  BOOST_TEST_REQUIRE(client.exchanges.size() == 2U);
  BOOST_TEST((client.exchanges[0]->server != client.exchanges[1]->server));
  client.Last().Respond(MakeResponse(200), "served");
  BOOST_TEST(caller->body == "served");
}

// Guards against discarding the error response of a server: it is forwarded
// when no further attempt succeeds.
BOOST_AUTO_TEST_CASE(ReturnsTheServersErrorWhenAllAttemptsFail)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/safe/1");
  client.Last().Respond(MakeResponse(500), "first failure");
  client.Last().Respond(MakeNotRunResponse());
  BOOST_TEST(caller->response.status == 500);
  BOOST_TEST(caller->body == "first failure");
  BOOST_TEST(client.exchanges.size() == 2U);
}

// Guards against waiting for an unresponsive server: a second attempt is sent
// while the first one runs, and the slower attempt is cancelled.
BOOST_AUTO_TEST_CASE(IsHedgedWhenItsServerIsSlow)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/safe/1");
  client.Last().anyByteSent = true;
  BOOST_TEST_REQUIRE(WaitUntil([&] { return client.exchanges.size() == 2; },
                               std::chrono::milliseconds(1'500)));
  client.Last().Respond(MakeResponse(200), "second");
  BOOST_TEST(caller->body == "second");
  BOOST_TEST(client.exchanges[0]->isCancelled);
}

// Guards against forwarding a truncated response to the caller.
BOOST_AUTO_TEST_CASE(IsRetriedWhenItsResponseIsTruncated)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/safe/1");
  const auto first = client.exchanges[0];
  first->anyByteSent = true;
  first->observer->OnResponseHead(MakeResponse(200));
  first->observer->OnResponseBody(std::string_view("half of"));
  first->Fail(HttpFailureKind::Closed);
  BOOST_TEST(caller->body.empty());
  client.Last().Respond(MakeResponse(200), "the complete response");
  BOOST_TEST(caller->body == "the complete response");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against backend work for callers that have disconnected.
BOOST_AUTO_TEST_CASE(IsCancelledAtItsServerWhenTheCallerDisconnects)
{
  SetDefaultRoutesAndServers();
  Request("/once/1");
  observer->OnRequestClosed(false);
  BOOST_TEST(client.Last().isCancelled);
  client.Last().Fail(HttpFailureKind::Cancelled);
  BOOST_TEST(client.exchanges.size() == 1U);
}

// Guards against a late response to another request on the same connection.
BOOST_AUTO_TEST_CASE(DoesNotAcceptTheResponseToAnotherRequest)
{
  SetDefaultRoutesAndServers();
  Request("/once/1");
  HttpResponseHead other = MakeResponse(200);
  other.fields.Set("Id", "request-0");
  BOOST_TEST(!client.Last().observer->IsOwnResponse(other));
  BOOST_TEST(client.Last().observer->IsOwnResponse(MakeResponse(200)));
}

// Guards against a late copy that nothing tells from the response to the next
// request of a kept connection.
BOOST_AUTO_TEST_CASE(KeepsNoConnectionAfterAResponseThatNamesNoRequest)
{
  SetDefaultRoutesAndServers();
  Request("/once/1");
  HttpResponseHead unnamed = MakeResponse(200);
  unnamed.fields.Remove("Id");
  BOOST_TEST(!client.Last().observer->AllowsReuseAfter(unnamed));
  BOOST_TEST(client.Last().observer->AllowsReuseAfter(MakeResponse(200)));
}

// A request whose body of 600,000 bytes arrives in six parts.
struct UploadFixture : GatewayFixture
{
  std::shared_ptr<FakeServerExchange> Begin(const char* aTarget)
  {
    HttpRequestHead head;
    head.method = "POST";
    head.target = aTarget;
    head.fields.Add("Host", "h");
    head.fields.Add("Id", "request-1");
    head.framing = BodyFraming::Length;
    head.contentLength = 6 * kPartBytes;
    auto caller = std::make_shared<FakeServerExchange>(head);
    observer = service->OnRequest(caller);
    return caller;
  }

  void SendParts(int aCount) const
  {
    const std::string part(kPartBytes, 'x');
    for (int i = 0; i < aCount; ++i) {
      observer->OnRequestBody(part);
    }
  }

  static constexpr std::size_t kPartBytes = 100'000;
};

BOOST_FIXTURE_TEST_SUITE(WithALargeBody, UploadFixture)

BOOST_AUTO_TEST_CASE(IsForwardedWhileTheBodyArrives)
{
  SetDefaultRoutesAndServers();
  const auto caller = Begin("/safe/1");
  SendParts(6);
  observer->OnRequestEnd();
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  BOOST_TEST(client.Last().body.size() == 600'000U);
  BOOST_TEST(client.Last().isBodyFinished);
  // A body that is not buffered cannot be sent again, even if retries are
  // allowed.
  client.Last().anyByteSent = true;
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(caller->response.status == 502);
}

BOOST_AUTO_TEST_SUITE(OfWhichTheRestIsNotRead)

const RequestFailure kTooSlow{ 408, 504, "too slow" };

// Guards against the promise "not run" for an upload that its server has begun
// to receive.
BOOST_AUTO_TEST_CASE(PromisesNothingAfterAByteWasSent)
{
  SetDefaultRoutesAndServers();
  const auto caller = Begin("/once/1");
  SendParts(4);
  client.Last().anyByteSent = true;
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(caller->response.status == 504);
  BOOST_TEST(client.Last().isCancelled);
  client.Last().Fail(HttpFailureKind::Cancelled);
  observer->OnRequestClosed(false);
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(caller->heads == 1);
  BOOST_TEST(metrics.Format().find("failed_unknown_total 1\n") !=
             std::string::npos);
  BOOST_TEST(metrics.Format().find("caller_left_total 0\n") !=
             std::string::npos);
}

// Guards against evidence that is read while bytes can still be sent.
BOOST_AUTO_TEST_CASE(PromisesNothingIfAByteIsSentAtTheLastMoment)
{
  SetDefaultRoutesAndServers();
  const auto caller = Begin("/once/1");
  SendParts(4);
  FakeClientExchange& attempt = client.Last();
  attempt.onCancel = [&attempt] { attempt.anyByteSent = true; };
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(caller->response.status == 504);
}

// Guards against an uncertain response while the server cannot be reached.
BOOST_AUTO_TEST_CASE(IsNotRunIfNoByteWasSent)
{
  SetDefaultRoutesAndServers();
  const auto caller = Begin("/once/1");
  SendParts(4);
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(caller->response.status == 408);
  BOOST_TEST(client.Last().isCancelled);
  BOOST_TEST(metrics.Format().find("refused_not_run_total 1\n") !=
             std::string::npos);
}

// Guards against a promise that a later event breaks.
BOOST_AUTO_TEST_CASE(IsNeverSentAfterItsRefusal)
{
  SetDefaultRoutesAndServers();
  const auto caller = Begin("/once/1");
  SendParts(1);
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(caller->response.status == 408);
  SendParts(5);
  observer->OnRequestEnd();
  observer->OnRequestClosed(true);
  BOOST_TEST(client.exchanges.empty());
  BOOST_TEST(caller->heads == 1);
}

// Guards against a server that is selected after the refusal.
BOOST_AUTO_TEST_CASE(IsNotSentByASelectionThatArrivesAfterItsRefusal)
{
  SetDefaultRoutesAndServers();
  SetServers(1);
  const auto owner = StartOwnerWithServer();
  const auto caller = Begin("/once/1");
  SendParts(4);
  BOOST_TEST(client.exchanges.empty());
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(caller->response.status == 408);
  RunFor(std::chrono::milliseconds(300));
  BOOST_TEST(client.exchanges.empty());
}

// Guards against a second response within the one that has begun.
BOOST_AUTO_TEST_CASE(IsAbortedIfItsResponseHasBegun)
{
  SetDefaultRoutesAndServers();
  const auto caller = Begin("/safe/1");
  SendParts(4);
  const auto sent = client.exchanges.at(0);
  sent->anyByteSent = true;
  sent->observer->OnResponseHead(MakeResponse(200));
  sent->observer->OnResponseBody(std::string(1'500'000, 'x'));
  BOOST_TEST_REQUIRE(caller->heads == 1);
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(caller->isAborted);
  BOOST_TEST(!caller->isFinished);
  BOOST_TEST(caller->heads == 1);
  BOOST_TEST(sent->isCancelled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithALargeResponse)

// Guards against a truncated response that looks complete to the caller.
BOOST_AUTO_TEST_CASE(StreamsItAndIsAbortedWhenItIsTruncated)
{
  SetDefaultRoutesAndServers();
  const auto caller = Request("/safe/1");
  const auto sent = client.exchanges[0];
  sent->anyByteSent = true;
  sent->observer->OnResponseHead(MakeResponse(200));
  const std::string part(300'000, 'x');
  for (int i = 0; i < 5; ++i) {
    sent->observer->OnResponseBody(part);
  }
  BOOST_TEST(caller->heads == 1);
  BOOST_TEST(caller->body.size() == 1'500'000U);
  sent->Fail(HttpFailureKind::Closed);
  BOOST_TEST(caller->isAborted);
  BOOST_TEST(!caller->isFinished);
  BOOST_TEST(client.exchanges.size() == 1U);
}

// The test decides when the owner responds to the query for a hedge.
struct HedgedStreamFixture : GatewayFixture
{
  HedgedStreamFixture()
  {
    SetDefaultRoutesAndServers();
    owner = StartScriptedOwner([this](const SelectionQuery& aQuery) {
      if (aQuery.request.purpose == AttemptPurpose::First) {
        Select(aQuery, "server-0");
      } else {
        hedgeQuery = aQuery;
      }
    });
  }

  // Sends a request and begins to stream its response while the owner is asked
  // for a hedge.
  std::shared_ptr<FakeServerExchange> StreamDuringHedgeQuery()
  {
    auto caller = Request("/safe/1");
    BOOST_TEST_REQUIRE(WaitUntil([&] { return hedgeQuery.has_value(); }));
    BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
    client.Last().anyByteSent = true;
    client.Last().observer->OnResponseHead(MakeResponse(200));
    client.Last().observer->OnResponseBody(std::string(kStreamedBytes, 'x'));
    BOOST_TEST_REQUIRE(caller->heads == 1);
    return caller;
  }

  void Select(const SelectionQuery& aQuery, const char* aServer) const
  {
    SelectionResponse response;
    response.queryId = aQuery.queryId;
    response.result.selection = { 1, aServer, kHedgeAfter, true };
    owner->Send(selection->LocalEndpoint(), EncodeSelectionMessage(response));
  }

  void Refuse(const SelectionQuery& aQuery) const
  {
    SelectionResponse response;
    response.queryId = aQuery.queryId;
    response.result.reason = "hedge-too-early";
    owner->Send(selection->LocalEndpoint(), EncodeSelectionMessage(response));
  }

  static constexpr std::size_t kStreamedBytes = 1'500'000;
  static constexpr std::chrono::milliseconds kHedgeAfter{ 10 };

  std::unique_ptr<DatagramSocket> owner;
  std::optional<SelectionQuery> hedgeQuery;
};

BOOST_FIXTURE_TEST_SUITE(WhileAHedgeIsBeingSelected, HedgedStreamFixture)

// Guards against bytes of a second response within the one that has begun.
BOOST_AUTO_TEST_CASE(SendsNoHedgeOnceItsResponseHasBegun)
{
  const auto caller = StreamDuringHedgeQuery();
  Select(*hedgeQuery, "server-1");
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(client.exchanges.size() == 1U);
  if (client.exchanges.size() > 1) {
    client.Last().Respond(MakeResponse(200), "whole response of the hedge");
  }
  client.exchanges[0]->observer->OnResponseEnd();
  BOOST_TEST(!client.exchanges[0]->isCancelled);
  BOOST_TEST(caller->body.size() == kStreamedBytes);
  BOOST_TEST(caller->isFinished);
  BOOST_TEST(caller->heads == 1);
  BOOST_TEST(selection->PendingAttempts() == 0);
}

BOOST_AUTO_TEST_CASE(RequestsNoOtherHedgeAfterARefusal)
{
  const auto caller = StreamDuringHedgeQuery();
  Refuse(*std::exchange(hedgeQuery, std::nullopt));
  RunFor(std::chrono::milliseconds(300));
  BOOST_TEST(!hedgeQuery.has_value());
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(!client.exchanges[0]->isCancelled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Guards against running non-idempotent requests ahead of earlier ones.
BOOST_AUTO_TEST_CASE(MayRunAheadOnlyWhenItIsIdempotent)
{
  SetDefaultRoutesAndServers();
  HttpRequestHead head;
  head.fields.Add("Host", "h");
  head.target = "/safe/1";
  BOOST_TEST(service->MayRunConcurrently(head));
  head.target = "/once/1";
  BOOST_TEST(!service->MayRunConcurrently(head));
  head.target = "/none/1";
  BOOST_TEST(!service->MayRunConcurrently(head));
}

// Guards against requests that end with a streamed response before them.
BOOST_AUTO_TEST_CASE(MayBeAbortedWhenItsRouteHasLargeResponses)
{
  Route download = MakeRoute("/download/", true);
  download.hasLargeResponses = true;
  SetRoutes(1, { MakeRoute("/safe/", true), download });
  HttpRequestHead head;
  head.fields.Add("Host", "h");
  head.target = "/download/1";
  BOOST_TEST(service->MayAbortResponse(head));
  head.target = "/safe/1";
  BOOST_TEST(!service->MayAbortResponse(head));
}

BOOST_AUTO_TEST_SUITE_END()
