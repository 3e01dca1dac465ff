#include "base/Log.h"
#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "claims/ClaimRegistry.h"
#include "store/MemoryObjectStore.h"

#include <QCoreApplication>
#include <QEventLoop>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint32(requests, 200, "requests with an idempotency key per case");

namespace filbertbeam {
namespace {

using std::chrono::milliseconds;

// The situation of one request with an idempotency key.
enum class Case
{
  Normal,
  Released,
  // The same key again, after its request has run.
  Repeated,
  // Two hosts claim the key concurrently; both claims count as one request.
  Conflict,
  // A key that was released before.
  Reclaimed,
  LostClaimResponse,
  LostCompletionResponse,
  // The response to the claim is lost and every later call fails until the
  // deadline.
  Outage,
  // Every call fails until the deadline because connections are refused.
  RefusedConnections,
};

struct CaseRow
{
  Case kind;
  const char* name;
};

constexpr CaseRow kCases[] = {
  { Case::Normal, "normal (claim, complete)" },
  { Case::Released, "claim, release" },
  { Case::Repeated, "repeat of a key that ran" },
  { Case::Conflict, "conflict (two hosts at once)" },
  { Case::Reclaimed, "claim of a released key, complete" },
  { Case::LostClaimResponse, "lost response to the claim" },
  { Case::LostCompletionResponse, "lost response to the completion" },
  { Case::Outage, "lost response, then outage to deadline" },
  { Case::RefusedConnections, "refused connections until deadline" },
};

struct Host
{
  Host(std::shared_ptr<StoredObjects> aObjects, std::uint64_t aIncarnation)
    : store(std::move(aObjects))
    , random(aIncarnation)
  {
    // Shorter than in a fleet to save time. The delay does not change how many
    // calls a single lost response costs.
    ClaimLimits limits;
    limits.firstBackgroundRetryDelay = milliseconds(2);
    registry =
      ClaimRegistry::Create(store, clock, random, "host", aIncarnation, limits);
  }

  SystemClock clock;
  MemoryObjectStore store;
  SeededRandom random;
  std::unique_ptr<ClaimRegistry> registry;
};

void
RunUntil(const std::function<bool()>& aCondition)
{
  while (!aCondition()) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
}

class Benchmark
{
public:
  explicit Benchmark(Case aCase)
    : case_(aCase)
  {
  }

  // Runs aRequests requests and prints the store calls per request.
  void Run(std::string_view aName, unsigned aRequests)
  {
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    for (unsigned number = 0; number < aRequests; ++number) {
      const ClaimRequest request{ "customer",
                                  std::to_string(number),
                                  "fingerprint" };
      Prepare(request);
      first_.store.ResetCounts();
      second_.store.ResetCounts();
      RunOne(request);
      RunUntil([&] {
        return first_.registry->PendingWrites() == 0 &&
               second_.registry->PendingWrites() == 0;
      });
      for (const Host* host : { &first_, &second_ }) {
        writes += host->store.Counts().Writes();
        reads += host->store.Counts().Reads();
      }
    }
    fmt::print("{:<42} {:>8.2f} {:>8.2f}\n",
               aName,
               static_cast<double>(writes) / aRequests,
               static_cast<double>(reads) / aRequests);
  }

private:
  void Prepare(const ClaimRequest& aRequest)
  {
    if (case_ == Case::Repeated) {
      first_.registry->Complete(Claim(aRequest), 200, {});
    } else if (case_ == Case::Reclaimed) {
      first_.registry->Release(Claim(aRequest));
    }
    RunUntil([&] { return first_.registry->PendingWrites() == 0; });
  }

  void RunOne(const ClaimRequest& aRequest)
  {
    StoreFaults faults;
    switch (case_) {
      case Case::Normal:
      case Case::Reclaimed:
      case Case::Repeated:
        break;
      case Case::Released:
        first_.registry->Release(Claim(aRequest));
        return;
      case Case::Conflict: {
        bool isCallbackCalled = false;
        second_.registry->Claim(aRequest,
                                second_.clock.Now() + std::chrono::seconds(5),
                                [&](const ClaimResult& aResult) {
                                  isCallbackCalled = true;
                                  Complete(second_, aResult.claimId);
                                });
        Complete(first_, Claim(aRequest));
        RunUntil([&] { return isCallbackCalled; });
        return;
      }
      case Case::LostClaimResponse:
        faults.lostWriteResponses = 1;
        first_.store.SetFaults(faults);
        break;
      case Case::LostCompletionResponse: {
        const std::uint64_t id = Claim(aRequest);
        faults.lostWriteResponses = 1;
        first_.store.SetFaults(faults);
        Complete(first_, id);
        return;
      }
      case Case::Outage:
        faults.lostWriteResponses = 1;
        first_.store.SetFaults(faults);
        ClaimDuringOutage(aRequest, false);
        return;
      case Case::RefusedConnections:
        ClaimDuringOutage(aRequest, true);
        return;
    }
    Complete(first_, Claim(aRequest));
  }

  void ClaimDuringOutage(const ClaimRequest& aRequest, bool aIsRefused)
  {
    StoreFaults outage;
    outage.isUnavailable = true;
    outage.isConnectionRefused = aIsRefused;
    if (aIsRefused) {
      first_.store.SetFaults(outage);
    }
    bool isCallbackCalled = false;
    first_.registry->Claim(
      aRequest,
      first_.clock.Now() + milliseconds(200),
      [&](const ClaimResult&) { isCallbackCalled = true; });
    // The write of the call above has already met the fault that was set
    // before.
    first_.store.SetFaults(outage);
    RunUntil([&] { return isCallbackCalled; });
    first_.store.SetFaults({});
  }

  // Returns the number of a granted claim, or 0.
  std::uint64_t Claim(const ClaimRequest& aRequest)
  {
    std::optional<ClaimResult> result;
    first_.registry->Claim(
      aRequest,
      first_.clock.Now() + std::chrono::seconds(5),
      [&](const ClaimResult& aResult) { result = aResult; });
    RunUntil([&] { return result.has_value(); });
    return result->claimId;
  }

  static void Complete(Host& aHost, std::uint64_t aClaimId)
  {
    if (aClaimId != 0) {
      aHost.registry->Complete(aClaimId, 200, {});
    }
  }

  Case case_;
  std::shared_ptr<StoredObjects> objects_ = std::make_shared<StoredObjects>();
  Host first_{ objects_, 1 };
  Host second_{ objects_, 2 };
};

} // namespace
} // namespace filbertbeam

int
main(int argc, char* argv[])
{
  gflags::SetUsageMessage(
    "Prints the store calls per request with an idempotency key.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication application(argc, argv);
  using namespace filbertbeam;
  if (FLAGS_requests == 0) {
    LogEvent(LogLevel::Error, "no_requests");
    return 2;
  }
  SetLogLevel(LogLevel::Error);
  fmt::print("{:<42} {:>8} {:>8}\n", "calls per request", "writes", "reads");
  for (const CaseRow& row : kCases) {
    Benchmark(row.kind).Run(row.name, FLAGS_requests);
  }
  return 0;
}
