// The platform's store turns a third of the machines away, silently, and serves
// the others: those that watch it for the rest of their zones. The operator
// changes the service of a route at that time. A machine that the store serves
// must follow the change in time.

#include "review/lib-3/World.h"

#include <array>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t kMachines = 18;
constexpr std::size_t kPerZone = 6;
// The store turns this many machines away at most (share 0.35).
constexpr std::size_t kMostTurnedAway = 6;
constexpr double kInterval = 0.1; // seconds
constexpr double kWork = 0.02;    // seconds
constexpr int kRounds = 4;
constexpr double kCalm = 10;         // seconds before a round
constexpr double kTurnedAway = 9;    // seconds
constexpr double kChangeAfter = 0.3; // seconds
constexpr double kApplyTime = 2;     // seconds
// A request may be judged by the machine's clock a little after it was sent.
constexpr double kSlack = 0.05; // seconds

class Case
{
public:
  Case(bool aHasTrouble, const std::string& aFolder)
    : hasTrouble_(aHasTrouble)
    , record_(aFolder + "/record.txt")
  {
  }

  int Run(const std::string& aCommand, const std::string& aScratch);

private:
  bool Serve(int aService, Stream& aStream, const Message& aRequest);
  void Request(const Fleet& aFleet, std::size_t aMachine);
  // Writes the next version, which sends the route to the other service.
  void ChangeConfiguration();
  // Returns false if the machines that watch are too many.
  bool PlayRound();

  const bool hasTrouble_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Backend>> servers_;
  std::atomic<bool> isOver_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> judged_ = 0;
  std::atomic<int> stale_ = 0;
  std::mutex mutex_;
  // The service of the version in force, and when the store acknowledged it.
  int version_ = 6;
  int service_ = 1;
  double acknowledgedAt_ = 0;
  std::set<std::size_t> turnedAway_;
};

// The time at which a request was sent and its machine are parts of its id.
std::string
RequestId(std::size_t aMachine, int aNumber)
{
  return std::to_string(aMachine) + "-" + std::to_string(aNumber) + "-" +
         std::to_string(Now());
}

bool
Case::Serve(int aService, Stream& aStream, const Message& aRequest)
{
  const std::string request = aRequest.Field("request-id");
  const std::size_t machine = std::strtoull(request.c_str(), nullptr, 10);
  const double sentAt =
    std::strtod(request.c_str() + request.rfind('-') + 1, nullptr);
  {
    const std::scoped_lock lock(mutex_);
    const double age = sentAt - acknowledgedAt_;
    if (!turnedAway_.contains(machine) && age > kApplyTime + kSlack) {
      ++judged_;
      if (aService != service_) {
        ++stale_;
        record_.Add("service " + std::to_string(aService) + " runs " + request +
                    " from machine " + std::to_string(machine) + ", sent " +
                    std::to_string(age) + " s after version " +
                    std::to_string(version_) +
                    " was acknowledged, which names "
                    "service " +
                    std::to_string(service_));
      }
    }
  }
  record_.Add("service " + std::to_string(aService) + " runs " + request);
  SleepUntil(Now() + kWork);
  return aStream.Write(Success(request, "done"));
}

void
Case::Request(const Fleet& aFleet, std::size_t aMachine)
{
  double next = Now();
  while (!isOver_) {
    const int socket = aFleet.Connect(aMachine);
    if (socket < 0) {
      SleepUntil(Now() + 0.1);
      continue;
    }
    Stream stream(socket);
    Message answer;
    for (bool isOpen = true; isOpen && !isOver_;) {
      SleepUntil(next);
      next += kInterval;
      const std::string request = RequestId(aMachine, ++requests_);
      record_.Add("machine " + std::to_string(aMachine) + " is sent " +
                  request);
      isOpen = stream.Write("GET /lookups/1 HTTP/1.1\r\nHost: h.example\r\n"
                            "Request-Id: " +
                            request + "\r\nRequest-Timeout-Ms: 2000\r\n\r\n") &&
               stream.Read(answer);
      record_.Add("answer to " + request + ": " +
                  (isOpen ? answer.SecondWord() : std::string("none")));
      isOpen = isOpen && answer.Field("connection") != "close";
    }
  }
}

void
Case::ChangeConfiguration()
{
  const std::scoped_lock lock(mutex_);
  ++version_;
  service_ = 1 - service_;
  const std::string service = "service-" + std::to_string(service_);
  store_.Put(
    "config",
    "main",
    Configuration(version_,
                  { Rule("cert-lookup", "/lookups/", "safe", service, 2) },
                  { "service-0", "service-1" }),
    {});
  acknowledgedAt_ = Now();
  record_.Add("the store acknowledges version " + std::to_string(version_) +
              ": " + service);
}

bool
Case::PlayRound()
{
  SleepUntil(Now() + kCalm / 2);
  // Machines that follow others end their own watch with a change.
  ChangeConfiguration();
  SleepUntil(Now() + kCalm / 2);
  std::set<std::size_t> watchers;
  for (const std::size_t listener : store_.Watchers("config")) {
    watchers.insert(listener - 1);
  }
  if (watchers.size() > kMostTurnedAway) {
    record_.Add(std::to_string(watchers.size()) + " machines watch the store");
    return false;
  }
  const double begin = Now();
  if (hasTrouble_) {
    std::set<std::size_t> listeners;
    std::string names;
    for (const std::size_t machine : watchers) {
      listeners.insert(machine + 1);
      names += " " + std::to_string(machine);
    }
    {
      const std::scoped_lock lock(mutex_);
      turnedAway_ = watchers;
    }
    store_.Silence(listeners);
    record_.Add("the store answers no more calls of the machines" + names);
  }
  SleepUntil(begin + kChangeAfter);
  ChangeConfiguration();
  SleepUntil(begin + kTurnedAway);
  if (hasTrouble_) {
    store_.Silence({});
    record_.Add("the store answers all machines");
  }
  return true;
}

int
Case::Run(const std::string& aCommand, const std::string& aScratch)
{
  ChangeConfiguration();
  for (int server = 0; server < 4; ++server) {
    const int service = server % 2;
    servers_.push_back(std::make_unique<Backend>(
      "i-" + std::to_string(server),
      "service-" + std::to_string(service),
      [this, service](Stream& aStream, const Message& aRequest) {
        return Serve(service, aStream, aRequest);
      }));
    store_.Put("servers",
               servers_.back()->Id(),
               servers_.back()->Spec(),
               Status("ready", 1));
  }
  std::vector<std::string> stores;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    stores.push_back(store_.AddressOf(store_.AddListener()));
  }
  const Fleet fleet(aCommand, stores, kPerZone, aScratch);
  if (!fleet.WaitUntilReady()) {
    std::cerr << "the machines did not become ready\n";
    return 2;
  }
  std::vector<std::thread> requesters;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    requesters.emplace_back(
      [this, &fleet, machine] { Request(fleet, machine); });
  }
  int rounds = 0;
  for (int round = 0; round < kRounds; ++round) {
    rounds += PlayRound() ? 1 : 0;
  }
  const bool isRunning = fleet.IsRunning();
  isOver_ = true;
  for (std::thread& requester : requesters) {
    requester.join();
  }
  const std::string result =
    std::to_string(rounds) + " rounds, " + std::to_string(judged_.load()) +
    " requests judged, " + std::to_string(stale_.load()) +
    " of them handled by an older version" +
    (isRunning ? "" : "; a process ended by itself");
  record_.Add(result);
  std::cout << result << "\n" << std::flush;
  if (!isRunning) {
    return 1;
  }
  if (rounds == 0 || judged_ < 100) {
    return 2;
  }
  return stale_ > 0 ? 1 : 0;
}

} // namespace

int
main(int argc, char* argv[])
{
  if (argc != 4) {
    std::cerr << "arguments: COMMAND FOLDER SCRATCH\n";
    return 2;
  }
  // No thread has been started yet.
  const char* trouble = std::getenv("TROUBLE"); // NOLINT
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  auto* const run = new Case(hasTrouble, argv[2]);
  // The threads of the stand-ins end with the process.
  _exit(run->Run(argv[1], argv[3]));
}
