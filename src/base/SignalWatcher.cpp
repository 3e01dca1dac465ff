#include "base/SignalWatcher.h"

#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <utility>

namespace filbertbeam {

namespace {

volatile std::sig_atomic_t signalSocket = -1;

// Only async-signal-safe functions may be called here.
void
HandleSignal(int aSignal)
{
  const char byte = static_cast<char>(aSignal);
  [[maybe_unused]] const ssize_t written =
    ::write(static_cast<int>(signalSocket), &byte, 1);
}

} // namespace

SignalWatcher::SignalWatcher(std::array<int, 2> aSockets)
  : sockets_(aSockets)
  , notifier_(aSockets[1], QSocketNotifier::Read)
{
  QObject::connect(&notifier_, &QSocketNotifier::activated, &notifier_, [this] {
    OnReadable();
  });
}

std::unique_ptr<SignalWatcher>
SignalWatcher::Create(std::string& aReason)
{
  std::array<int, 2> sockets{};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets.data()) !=
      0) {
    aReason = std::string("cannot create a socket pair: ") +
              std::strerror(errno); // NOLINT(concurrency-mt-unsafe)
    return nullptr;
  }
  std::unique_ptr<SignalWatcher> watcher(new SignalWatcher(sockets));
  signalSocket = sockets[0];
  std::signal(SIGTERM, HandleSignal);
  std::signal(SIGINT, HandleSignal);
  std::signal(SIGHUP, HandleSignal);
  // Ignored: a write to a closed connection then fails with an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  return watcher;
}

SignalWatcher::~SignalWatcher()
{
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  std::signal(SIGHUP, SIG_DFL);
  notifier_.setEnabled(false);
  ::close(sockets_[0]);
  ::close(sockets_[1]);
}

void
SignalWatcher::SetStopHandler(std::function<void()> aHandler)
{
  stopHandler_ = std::move(aHandler);
}

void
SignalWatcher::SetReloadHandler(std::function<void()> aHandler)
{
  reloadHandler_ = std::move(aHandler);
}

void
SignalWatcher::OnReadable()
{
  char byte = 0;
  if (::read(sockets_[1], &byte, 1) != 1) {
    return;
  }
  const auto& handler = byte == SIGHUP ? reloadHandler_ : stopHandler_;
  if (handler) {
    handler();
  }
}

} // namespace filbertbeam
