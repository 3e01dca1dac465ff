#include "base/Log.h"
#include "base/SignalWatcher.h"
#include "daemon/Daemon.h"
#include "platform/StoreCatalog.h"

#include <QCoreApplication>

#include <cstdio>

using namespace filbertbeam;

namespace {

constexpr int kExitCannotStart = 1;
constexpr int kExitUsage = 2;

} // namespace

int
main(int argc, char* argv[])
{
  Findings findings;
  const std::optional<DaemonSettings> settings =
    DaemonSettings::Create(&argc, &argv, findings);
  if (!settings) {
    std::fputs(findings.Format().c_str(), stderr);
    std::fputs("filbertbeamd --help shows all settings\n", stderr);
    return kExitUsage;
  }
  SetLogLevel(settings->logLevel);
  QCoreApplication application(argc, argv);
  std::string reason;
  const std::unique_ptr<SignalWatcher> signals = SignalWatcher::Create(reason);
  const auto openCatalog = [&settings](std::string& aReason) {
    return StoreCatalog::Create(
      settings->platform, StoreCatalog::DefaultLimits(), aReason);
  };
  std::unique_ptr<Daemon> daemon =
    signals ? Daemon::Create(*settings, openCatalog, reason) : nullptr;
  if (!daemon) {
    LogEvent(LogLevel::Error, "cannot_start", { { "reason", reason } });
    return kExitCannotStart;
  }
  signals->SetStopHandler(
    [&daemon] { daemon->Stop([] { QCoreApplication::quit(); }); });
  return QCoreApplication::exec();
}
