#pragma once

#include "base/SeededRandom.h"

#include <pthread.h>
#include <signal.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <string>
#include <system_error>
#include <thread>

namespace filbertbeam::testing {

inline constexpr int kPauseSignal = SIGUSR2;

// Keeps the calling thread running while RandomPauses pauses the others.
inline void
ExemptThreadFromPauses()
{
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, kPauseSignal);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Pauses the threads of this process at random moments and at any instruction,
// within system calls too, as SIGSTOP does from outside. There can be one at a
// time. The time from one pause to the next is less than aMaxInterval.
class RandomPauses
{
public:
  RandomPauses(std::uint64_t aSeed, std::chrono::microseconds aMaxInterval)
  {
    SetHandler(&OnSignal);
    thread_ = std::jthread([aSeed, aMaxInterval](const std::stop_token& aStop) {
      ExemptThreadFromPauses();
      SeededRandom random(aSeed);
      while (!aStop.stop_requested()) {
        std::this_thread::sleep_for(
          std::chrono::microseconds(random.Below(aMaxInterval.count())));
        PauseThreads();
      }
    });
  }
  ~RandomPauses()
  {
    thread_.request_stop();
    thread_.join();
    // Signals may still be on their way.
    SetHandler(SIG_IGN);
  }
  RandomPauses(const RandomPauses&) = delete;
  RandomPauses& operator=(const RandomPauses&) = delete;

private:
  static constexpr timespec kPause{ 0, 2'000'000 }; // 2 ms

  static void SetHandler(void (*aHandler)(int))
  {
    struct sigaction action = {};
    action.sa_handler = aHandler;
    ::sigaction(kPauseSignal, &action, nullptr);
  }

  static void OnSignal(int)
  {
    const int error = errno;
    ::nanosleep(&kPause, nullptr);
    errno = error;
  }

  static void PauseThreads()
  {
    std::error_code error;
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/self/task", error)) {
      const int thread = std::stoi(entry.path().filename().string());
      ::syscall(SYS_tgkill, ::getpid(), thread, kPauseSignal);
    }
  }

  std::jthread thread_;
};

} // namespace filbertbeam::testing
