#pragma once

#include "http/HttpClient.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RecordingObserver.h"
#include "http/tests/support/ThreadedServer.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <map>
#include <optional>

namespace filbertbeam::testing {

// One exchange, and what the client says about it.
struct Trial
{
  std::string target;
  std::shared_ptr<RecordingObserver> observer =
    std::make_shared<RecordingObserver>();
  std::shared_ptr<HttpClientExchange> exchange;
  // What the client said when the exchange was given up.
  std::optional<bool> wasUnsentAtEnd;

  void GiveUp()
  {
    exchange->Cancel();
    wasUnsentAtEnd = !exchange->AnyByteSent();
  }

  bool IsStatedUnsent() const
  {
    return observer->failure ? !observer->failure->anyByteSent
                             : !exchange->AnyByteSent();
  }
};

// Target of a request whose head arrived in part, up to within its target.
inline constexpr const char* kPartOfHead = "(part of a head)";

// Counts the requests in the bytes that one connection received by their
// targets. A head or body at the end may be incomplete.
inline void
CountRequests(std::string_view aReceived, std::map<std::string, int>& aCounts)
{
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  while (!aReceived.empty()) {
    const auto end = aReceived.find(kHeadEnd);
    const std::string_view head = aReceived.substr(0, end);
    const auto method = head.find(' ');
    const auto target = head.find(' ', method + 1);
    ++aCounts[target == std::string_view::npos || method > target
                ? kPartOfHead
                : std::string(head.substr(method + 1, target - method - 1))];
    if (end == std::string_view::npos) {
      return;
    }
    std::size_t size = end + kHeadEnd.size();
    if (const auto at = head.find(kLength); at != std::string_view::npos) {
      size += std::stoul(std::string(head.substr(at + kLength.size())));
    }
    aReceived.remove_prefix(std::min(size, aReceived.size()));
  }
}

// A client whose statements are compared with what the servers have received.
struct EvidenceFixture
{
  std::shared_ptr<Trial> Start(std::size_t aBodyBytes = 0,
                               const HttpClientOptions& aOptions = {})
  {
    return Start(server, aBodyBytes, aOptions);
  }

  // Announces aMissingBytes more of the body than it sends.
  std::shared_ptr<Trial> Start(const ThreadedServer& aServer,
                               std::size_t aBodyBytes,
                               const HttpClientOptions& aOptions = {},
                               std::size_t aMissingBytes = 0)
  {
    auto trial = std::make_shared<Trial>();
    trial->target = fmt::format("/t{}", trials.size());
    HttpRequestHead head;
    head.method = "POST";
    head.target = trial->target;
    head.framing = BodyFraming::Length;
    head.contentLength = aBodyBytes + aMissingBytes;
    trial->exchange =
      client->Start(aServer.Address(), head, aOptions, trial->observer);
    trial->exchange->SendBody(std::string(aBodyBytes, 'x'));
    trials.push_back(trial);
    return trial;
  }

  // Runs aTurns turns of the event loop. Blocks the loop for aBlock before each
  // of them, so that the kernel and the server are done with the turn before.
  static void RunTurns(int aTurns, std::chrono::microseconds aBlock)
  {
    for (int i = 0; i < aTurns; ++i) {
      std::this_thread::sleep_for(aBlock);
      QCoreApplication::processEvents();
    }
  }

  // Waits, and compares what was stated about each exchange with what the
  // servers have received until then.
  void Check(const std::vector<ThreadedServer*>& aServers,
             std::chrono::milliseconds aWait = std::chrono::milliseconds(100))
  {
    for (ThreadedServer* const each : aServers) {
      each->AcceptAndReadAll();
    }
    RunFor(aWait);
    std::map<std::string, int> arrivals;
    for (const ThreadedServer* const each : aServers) {
      for (const std::string& received : each->Received()) {
        CountRequests(received, arrivals);
      }
    }
    BOOST_TEST(arrivals[kPartOfHead] == 0);
    for (const auto& trial : trials) {
      CheckTrial(*trial, arrivals[trial->target]);
    }
  }

  void Check() { Check({ &server }); }

  void CheckTrial(const Trial& aTrial, int aArrivals)
  {
    BOOST_TEST(aArrivals <= 1, aTrial.target << " arrived " << aArrivals);
    if (aTrial.observer->failure) {
      BOOST_TEST(aTrial.observer->failure->anyByteSent ==
                   aTrial.exchange->AnyByteSent(),
                 aTrial.target);
    }
    if (aTrial.wasUnsentAtEnd) {
      BOOST_TEST(*aTrial.wasUnsentAtEnd == aTrial.IsStatedUnsent(),
                 aTrial.target);
    }
    if (aTrial.IsStatedUnsent()) {
      ++unsent;
      BOOST_TEST(aArrivals == 0, aTrial.target << " was stated as not sent");
    } else {
      ++sent;
    }
  }

  ThreadedServer server;
  std::unique_ptr<HttpClient> client = HttpClient::Create({});
  std::vector<std::shared_ptr<Trial>> trials;
  // Numbers of trials, by what was stated about them.
  int unsent = 0;
  int sent = 0;
};

} // namespace filbertbeam::testing
