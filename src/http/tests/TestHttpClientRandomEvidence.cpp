#include "base/SeededRandom.h"
#include "http/tests/support/EvidenceFixture.h"
#include "http/tests/support/RandomPauses.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kPlayTime{ 800 };
constexpr int kDefaultSeeds = 1;
// The kernel repeats an unanswered request for a connection after 1 s.
constexpr std::chrono::milliseconds kRepetition{ 1'200 };

// Returns the number in an environment variable.
int
NumberOr(const char* aVariable, int aDefault)
{
  const char* const value = std::getenv(aVariable);      // NOLINT
  return value == nullptr ? aDefault : std::atoi(value); // NOLINT
}

// Starts and gives up exchanges at random with servers that behave at random.
struct RandomPlay : EvidenceFixture
{
  explicit RandomPlay(std::uint64_t aSeed)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      servers.push_back(std::make_unique<ThreadedServer>(DrawBehavior()));
    }
  }

  ServerBehavior DrawBehavior()
  {
    ServerBehavior behavior;
    behavior.backlog = random.Below(4) == 0 ? 0 : 64;
    behavior.isAccepting = random.Below(5) != 0;
    behavior.isReading = random.Below(5) != 0;
    if (random.Below(3) != 0) {
      // Half a body leaves the exchange waiting.
      const std::string body = random.Below(5) == 0 ? "ha" : "half";
      behavior.respond =
        Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + body);
    }
    if (random.Below(2) == 0) {
      behavior.ending = random.Below(2) == 0 ? ConnectionEnding::Reset
                                             : ConnectionEnding::Close;
      behavior.endsAfter = DrawTime(3'000us);
    }
    return behavior;
  }

  std::chrono::microseconds DrawTime(std::chrono::microseconds aMax)
  {
    return std::chrono::microseconds(random.Below(aMax.count()));
  }

  std::size_t DrawBodyBytes()
  {
    constexpr std::array<std::size_t, 4> kSizes{ 0, 5, 5, 300 * 1024 };
    return random.Below(100) == 0 ? 8UL * 1024 * 1024
                                  : kSizes.at(random.Below(kSizes.size()));
  }

  void StartOne()
  {
    HttpClientOptions options;
    options.freshConnection = random.Below(2) == 0;
    options.connectTimeout = std::chrono::milliseconds(
      1 + random.Below(random.Below(2) == 0 ? 4 : 60));
    const auto trial = EvidenceFixture::Start(*servers[random.Below(kServers)],
                                              DrawBodyBytes(),
                                              options,
                                              random.Below(8) == 0 ? 1 : 0);
    const auto giveUp = [raw = trial.get()] { raw->GiveUp(); };
    switch (random.Below(8)) {
      case 0:
        trial->observer->onSent = giveUp;
        break;
      case 1:
        trial->observer->onWritable = giveUp;
        break;
      case 2:
        trial->observer->onHead = giveUp;
        break;
      case 3:
        trial->observer->onBody = [giveUp](ByteView) { giveUp(); };
        break;
      case 4:
        trial->observer->onOver = [this] { isStartingNext = true; };
        break;
      case 5:
        break;
      default:
        QTimer::singleShot(
          std::chrono::milliseconds(random.Below(5)), Qt::PreciseTimer, giveUp);
    }
    running.push_back(trial);
    if (running.size() > kMaxRunning) {
      running.front()->GiveUp();
      running.pop_front();
    }
  }

  void DoOne()
  {
    switch (random.Below(12)) {
      case 0:
        servers[random.Below(kServers)]->SetBehavior(DrawBehavior());
        return;
      case 1:
        std::this_thread::sleep_for(DrawTime(3'000us));
        return;
      case 2:
        client->CloseIdleConnections(
          servers[random.Below(kServers)]->Address());
        return;
      case 3:
        running[random.Below(running.size())]->GiveUp();
        return;
      case 4:
        if (random.Below(20) == 0) {
          client = HttpClient::Create({});
        }
        return;
      case 5:
      case 6:
      case 7:
      case 8:
        StartOne();
        return;
      default:
        std::this_thread::sleep_for(DrawTime(200us));
        QCoreApplication::processEvents();
    }
    if (std::exchange(isStartingNext, false)) {
      StartOne();
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    StartOne();
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < end) {
      DoOne();
    }
    for (const auto& trial : trials) {
      trial->GiveUp();
    }
  }

  void CheckAll()
  {
    std::vector<ThreadedServer*> all;
    for (const auto& each : servers) {
      all.push_back(each.get());
    }
    Check(all, kRepetition);
  }

  static constexpr std::size_t kServers = 6;
  static constexpr std::size_t kMaxRunning = 60;

  SeededRandom random;
  std::vector<std::unique_ptr<ThreadedServer>> servers;
  std::deque<std::shared_ptr<Trial>> running;
  bool isStartingNext = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(ClientEvidence)

BOOST_AUTO_TEST_SUITE(AtRandom)

// Guards against moments that nobody thought of. The draws follow the seed, the
// times of the kernel don't: repeat a seed that fails. To run more of them, set
// FILBERTBEAM_TEST_SEED to the first and FILBERTBEAM_TEST_SEEDS to their
// number.
BOOST_AUTO_TEST_CASE(WhatIsStatedAsNotSentNeverArrives)
{
  const int first = NumberOr("FILBERTBEAM_TEST_SEED", 1);
  const int seeds = NumberOr("FILBERTBEAM_TEST_SEEDS", kDefaultSeeds);
  for (int seed = first; seed < first + seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomPlay play(static_cast<std::uint64_t>(seed));
      {
        const RandomPauses pauses(static_cast<std::uint64_t>(seed), 20ms);
        play.Run(kPlayTime);
      }
      play.CheckAll();
      BOOST_TEST(play.unsent > 0);
      BOOST_TEST(play.sent > 0);
      BOOST_TEST_MESSAGE("seed " << seed << ": " << play.sent << " sent, "
                                 << play.unsent << " not sent");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
