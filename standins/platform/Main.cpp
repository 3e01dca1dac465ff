#include "standins/platform/PlatformStandIn.h"

#include "base/Log.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <limits>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "TCP port to listen on; 0 picks a free one");
DEFINE_uint32(host_lag_ms, 0, "time before changes of the host list show");

int
main(int argc, char* argv[])
{
  gflags::SetUsageMessage("simulates the platform's object store and host "
                          "list (docs/platform-protocol.md)");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication application(argc, argv);
  using namespace filbertbeam;
  if (FLAGS_port > std::numeric_limits<std::uint16_t>::max()) {
    LogEvent(LogLevel::Error, "invalid_port", { { "port", FLAGS_port } });
    return 2;
  }
  std::string reason;
  const auto standIn = PlatformStandIn::Create(
    { FLAGS_address, static_cast<std::uint16_t>(FLAGS_port) }, reason);
  if (standIn == nullptr) {
    LogEvent(LogLevel::Error, "listen_failed", { { "reason", reason } });
    return 1;
  }
  standIn->SetHostLag(std::chrono::milliseconds(FLAGS_host_lag_ms));
  LogEvent(LogLevel::Info,
           "listening",
           { { "address", FLAGS_address }, { "port", standIn->Port() } });
  return QCoreApplication::exec();
}
