#include "base/Log.h"
#include "standins/backend/BackendApplication.h"

#include <gflags/gflags.h>

#include <QCoreApplication>

#include <cstdio>

DEFINE_string(listen_address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "TCP port; 0 picks a free one, printed as port=N");
DEFINE_int32(connections,
             400,
             "maximum number of connections accepted at the same time");
DEFINE_int32(slots,
             4,
             "requests served at the same time; further ones are shed");
DEFINE_int32(shed_status, 503, "status code of the response to a shed request");
DEFINE_double(service_time_ms, 5, "median service time in milliseconds");
DEFINE_double(service_time_sigma,
              0.3,
              "standard deviation of the logarithm of the service time");
DEFINE_uint64(seed, 1, "seed of the random service times and failures");
DEFINE_int32(
  cold_time_ms,
  0,
  "time after the start, in milliseconds, with longer service times");
DEFINE_double(cold_factor, 5, "factor on the service time during cold_time_ms");
DEFINE_bool(honest_health, false, "/health reports gray modes");
DEFINE_int32(load_lag_ms,
             1000,
             "age, in milliseconds, of the load that /load reports");
DEFINE_int32(reported_load,
             -1,
             "fixed load that /load reports, unless negative");

int
main(int argc, char* argv[])
{
  using namespace filbertbeam;
  gflags::SetUsageMessage("Simulates a backend server.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication application(argc, argv);

  BackendSettings settings;
  settings.slots = FLAGS_slots;
  settings.shedStatus = FLAGS_shed_status;
  settings.serviceTime = std::chrono::microseconds(
    static_cast<std::int64_t>(FLAGS_service_time_ms * 1000));
  settings.serviceTimeSigma = FLAGS_service_time_sigma;
  settings.seed = FLAGS_seed;
  settings.coldTime = std::chrono::milliseconds(FLAGS_cold_time_ms);
  settings.coldFactor = FLAGS_cold_factor;
  settings.honestHealth = FLAGS_honest_health;
  settings.loadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  settings.reportedLoad = FLAGS_reported_load;
  BackendApplication backend(settings);

  HttpServerLimits limits;
  limits.connections = FLAGS_connections;
  std::string reason;
  const auto server = HttpServer::Create(
    { FLAGS_listen_address, static_cast<std::uint16_t>(FLAGS_port) },
    limits,
    backend,
    reason);
  if (server == nullptr) {
    LogEvent(LogLevel::Error, "listen_failed", { { "reason", reason } });
    return 1;
  }
  std::printf("port=%u\n", static_cast<unsigned>(server->Port()));
  std::fflush(stdout);
  return QCoreApplication::exec();
}
