#include "base/Log.h"
#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "cli/Commands.h"
#include "cli/HttpAdminEndpoint.h"
#include "cli/ToolSettings.h"
#include "platform/StoreCatalog.h"
#include "store/CatalogObjectStore.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include <iostream>

using namespace filbertbeam;

namespace {

// Runs the event loop for 20 ms.
void
Pause()
{
  QEventLoop loop;
  QTimer::singleShot(20, &loop, &QEventLoop::quit);
  loop.exec();
}

} // namespace

int
main(int argc, char* argv[])
{
  const QCoreApplication application(argc, argv);
  // Operators need the outcome, not the warnings about retries.
  SetLogLevel(LogLevel::Error);
  Findings findings;
  const auto settings = ToolSettings::Create(&argc, &argv, findings);
  if (!settings) {
    std::cerr << findings.Format() << "See \"filbertbeam help\".\n";
    return kExitUsage;
  }
  std::unique_ptr<ObjectStore> store;
  if (!settings->platform.empty()) {
    std::string reason;
    std::unique_ptr<ObjectCatalog> catalog = StoreCatalog::Create(
      settings->platform, StoreCatalog::DefaultLimits(), reason);
    if (!catalog) {
      std::cerr << "--platform: " << reason << '\n';
      return kExitUsage;
    }
    store = std::make_unique<CatalogObjectStore>(std::move(catalog));
  }
  std::unique_ptr<AdminEndpoint> admin;
  if (!settings->admin.empty() && !settings->operatorToken.empty()) {
    admin = std::make_unique<HttpAdminEndpoint>(settings->admin,
                                                settings->operatorToken);
  }
  const SystemClock clock;
  SeededRandom random;
  CliEnvironment environment{ store.get(), admin.get(), clock,     random,
                              &Pause,      std::cin,    std::cout, std::cerr };
  const int exitCode =
    RunCommand(settings->arguments, settings->options, environment);
  std::cout.flush();
  if (!std::cout) {
    std::cerr << "filbertbeam: cannot write the output\n";
    return kExitRefused;
  }
  return exitCode;
}
