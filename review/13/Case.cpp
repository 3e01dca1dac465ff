// A server's heartbeat gets no answer from the store, which executes it
// seconds later. In the meantime the server reports that it drains, the store
// acknowledges that, and the store is calm again. Later than the drain time
// after the acknowledgement, no request may reach the server.

#include "review/lib-3/World.h"

#include <array>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t kMachines = 3;
constexpr int kServers = 4;
constexpr int kRequestersPerMachine = 6;
constexpr double kInterval = 0.25; // seconds
constexpr double kWork = 0.05;     // seconds
// The machines have run undisturbed for this long when the case begins.
constexpr double kCalm = 6;        // seconds
constexpr double kHeartbeat = 1.5; // seconds
constexpr double kDrainTime = 2;   // seconds
// The store executes the unanswered heartbeat this much later.
constexpr double kLate = 5.8; // seconds
// The server reports that it drains this long after the unanswered heartbeat.
constexpr double kDrainsAfter = 3.2; // seconds
constexpr double kEnd = 14;          // seconds after the unanswered heartbeat
// For the way of a request from a machine to the server.
constexpr double kSlack = 0.1; // seconds
constexpr int kMinRequests = 50;

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
  bool Serve(int aServer, Stream& aStream, const Message& aRequest);
  void Request(const Fleet& aFleet, std::size_t aMachine);
  // The heartbeats of the first server, from the one without an answer on.
  void WriteHeartbeats(Store& aStore);
  void Write(Store& aStore, std::string_view aState, int aSequence);

  const bool hasTrouble_;
  Record record_;
  std::vector<std::unique_ptr<Backend>> servers_;
  std::atomic<bool> isOver_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> beforeDraining_ = 0;
  std::atomic<int> late_ = 0;
  // 0 until the store has acknowledged that the first server drains.
  std::atomic<double> acknowledgedAt_ = 0;
};

bool
Case::Serve(int aServer, Stream& aStream, const Message& aRequest)
{
  const double arrivedAt = Now();
  const std::string request = aRequest.Field("request-id");
  if (aServer == 0) {
    const double acknowledgedAt = acknowledgedAt_;
    if (acknowledgedAt == 0) {
      ++beforeDraining_;
    } else {
      const bool isLate = arrivedAt > acknowledgedAt + kDrainTime + kSlack;
      late_ += isLate ? 1 : 0;
      record_.Add("server i-0 receives " + request + " " +
                  std::to_string(arrivedAt - acknowledgedAt) +
                  " s after the acknowledgement" + (isLate ? ": late" : ""));
    }
  }
  record_.Add("server i-" + std::to_string(aServer) + " runs " + request);
  SleepUntil(arrivedAt + kWork);
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
    bool isOpen = true;
    while (isOpen && !isOver_) {
      SleepUntil(next);
      next += kInterval;
      const std::string request = "r-" + std::to_string(++requests_);
      Message answer;
      record_.Add("machine " + std::to_string(aMachine) + " is sent " +
                  request);
      isOpen = stream.Write("POST /permits/1 HTTP/1.1\r\nHost: h.example\r\n"
                            "Request-Id: " +
                            request +
                            "\r\nRequest-Timeout-Ms: 2000\r\n"
                            "Content-Length: 4\r\n\r\nbody") &&
               stream.Read(answer);
      record_.Add("answer to " + request + ": " +
                  (isOpen ? answer.SecondWord() : std::string("none")));
      isOpen = isOpen && answer.Field("connection") != "close";
    }
  }
}

void
Case::Write(Store& aStore, std::string_view aState, int aSequence)
{
  aStore.Put(
    "servers", "i-0", servers_.front()->Spec(), Status(aState, aSequence));
  record_.Add("the store executes heartbeat " + std::to_string(aSequence) +
              " of i-0: " + std::string(aState));
}

void
Case::WriteHeartbeats(Store& aStore)
{
  const double begin = Now();
  int sequence = 2;
  if (hasTrouble_) {
    record_.Add("heartbeat 2 of i-0, ready, gets no answer");
    std::thread([this, &aStore, begin] {
      SleepUntil(begin + kLate);
      Write(aStore, "ready", 2);
    }).detach();
  } else {
    Write(aStore, "ready", 2);
  }
  for (double at = kHeartbeat; at < kDrainsAfter; at += kHeartbeat) {
    SleepUntil(begin + at);
    Write(aStore, "ready", ++sequence);
  }
  for (double at = kDrainsAfter; at < kEnd; at += kHeartbeat) {
    SleepUntil(begin + at);
    Write(aStore, "draining", ++sequence);
    if (acknowledgedAt_ == 0) {
      acknowledgedAt_ = Now();
    }
  }
}

int
Case::Run(const std::string& aCommand, const std::string& aScratch)
{
  auto* store = new Store;
  store->Put("config",
             "main",
             Configuration(
               7,
               { Rule("permit-approve", "/permits/", "unsafe", "permits", 2) },
               { "permits" }),
             {});
  for (int server = 0; server < kServers; ++server) {
    servers_.push_back(std::make_unique<Backend>(
      "i-" + std::to_string(server),
      "permits",
      [this, server](Stream& aStream, const Message& aRequest) {
        return Serve(server, aStream, aRequest);
      }));
    store->Put("servers",
               servers_.back()->Id(),
               servers_.back()->Spec(),
               Status("ready", 1));
  }
  const Fleet fleet(aCommand,
                    std::vector<std::string>(kMachines, store->Address()),
                    2,
                    aScratch);
  if (!fleet.WaitUntilReady()) {
    std::cerr << "the machines did not become ready\n";
    return 2;
  }
  std::vector<std::thread> requesters;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    for (int requester = 0; requester < kRequestersPerMachine; ++requester) {
      requesters.emplace_back(
        [this, &fleet, machine] { Request(fleet, machine); });
    }
  }
  SleepUntil(Now() + kCalm);
  WriteHeartbeats(*store);
  const bool isRunning = fleet.IsRunning();
  isOver_ = true;
  for (std::thread& requester : requesters) {
    requester.join();
  }
  const std::string result =
    std::to_string(requests_.load()) + " requests; i-0 received " +
    std::to_string(beforeDraining_.load()) + " before it drained and " +
    std::to_string(late_.load()) +
    " later than the drain time after the acknowledgement" +
    (isRunning ? "" : "; a process ended by itself");
  record_.Add(result);
  std::cout << result << "\n" << std::flush;
  if (!isRunning) {
    return 1;
  }
  if (beforeDraining_ < kMinRequests) {
    return 2;
  }
  return late_ > 0 ? 1 : 0;
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
