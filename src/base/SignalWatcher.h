#pragma once

#include <QSocketNotifier>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace filbertbeam {

// Turns SIGTERM and SIGINT, and SIGHUP, into calls from the event loop. At most
// one at a time per process.
class SignalWatcher
{
public:
  static std::unique_ptr<SignalWatcher> Create(std::string& aReason);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

  // For SIGTERM and SIGINT.
  void SetStopHandler(std::function<void()> aHandler);
  // For SIGHUP.
  void SetReloadHandler(std::function<void()> aHandler);

private:
  explicit SignalWatcher(std::array<int, 2> aSockets);
  void OnReadable();

  // The signal handler writes to the first, the notifier reads the second.
  const std::array<int, 2> sockets_;
  QSocketNotifier notifier_;
  std::function<void()> stopHandler_;
  std::function<void()> reloadHandler_;
};

} // namespace filbertbeam
