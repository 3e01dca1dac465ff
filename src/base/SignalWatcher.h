#pragma once

#include <QSocketNotifier>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace filbertbeam {

// Calls handlers for SIGTERM, SIGINT and SIGHUP from the event loop. At most
// one instance may exist in a process at a time.
class SignalWatcher
{
public:
  static std::unique_ptr<SignalWatcher> Create(std::string& aReason);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

  // Sets the handler for SIGTERM and SIGINT.
  void SetStopHandler(std::function<void()> aHandler);
  // Sets the handler for SIGHUP.
  void SetReloadHandler(std::function<void()> aHandler);

private:
  explicit SignalWatcher(std::array<int, 2> aSockets);
  void OnReadable();

  // The signal handler writes to the first socket; the notifier reads from the
  // second.
  const std::array<int, 2> sockets_;
  QSocketNotifier notifier_;
  std::function<void()> stopHandler_;
  std::function<void()> reloadHandler_;
};

} // namespace filbertbeam
