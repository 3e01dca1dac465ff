// Measures the CPU time, memory and store calls of daemon processes for
// different numbers of hosts, contracts, backend servers and requests. Writes
// every measured value as a CSV row and prints a least-squares fit per
// quantity.

#include "Fleet.h"
#include "ProcessUsage.h"

#include "base/Digest.h"

#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QDateTime>
#include <QRegularExpression>
#include <QTemporaryDir>

#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <optional>

DEFINE_string(sweeps,
              "hosts,contracts,backend_servers,requests",
              "sweeps to run, separated by commas");
DEFINE_string(output, "capacity-sweep.csv", "CSV file to write");
DEFINE_int32(quiet_s, 15, "length of a quiet window in seconds");
DEFINE_int32(load_s, 8, "length of a window under load in seconds");

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Sizes of the two-year target, to which the fits are extrapolated.
constexpr double kTargetHosts = 1'300;
constexpr double kTargetContracts = 80'000;
constexpr double kTargetBackendServers = 11'000;

// Time until hosts that have just started have exchanged member updates and
// fetched the configuration. The measuring windows start after it.
constexpr seconds kSettleTime{ 5 };
constexpr milliseconds kReadyTimeout{ 60'000 };
constexpr milliseconds kInForceTimeout{ 60'000 };
// Services of the target size have 27 backend servers on average.
constexpr int kServersPerService = 36;

// The measured points of one quantity, and the least-squares line through them.
class LinearFit
{
public:
  void Add(double aX, double aY) { points_.emplace_back(aX, aY); }

  // Prints the line, and its value at aTarget, which lies beyond the measured
  // range.
  void Print(std::string_view aName, std::optional<double> aTarget) const
  {
    const auto count = static_cast<double>(points_.size());
    double meanX = 0;
    double meanY = 0;
    for (const auto& [x, y] : points_) {
      meanX += x / count;
      meanY += y / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto& [x, y] : points_) {
      covariance += (x - meanX) * (y - meanY);
      variance += (x - meanX) * (x - meanX);
    }
    if (variance <= 0) {
      fmt::print("{:<44} no line: fewer than two sizes\n", aName);
      return;
    }
    const double slope = covariance / variance;
    const double intercept = meanY - slope * meanX;
    double squares = 0;
    double largest = 0;
    for (const auto& [x, y] : points_) {
      const double residual = std::abs(y - intercept - slope * x);
      squares += residual * residual;
      largest = std::max(largest, residual);
    }
    fmt::print("{:<44} {:.4g} + {:.4g} x; residual rms {:.3g}, max {:.3g}, "
               "n={}",
               aName,
               intercept,
               slope,
               std::sqrt(squares / count),
               largest,
               points_.size());
    if (aTarget) {
      fmt::print(
        "; line at {:.0f}: {:.4g}", *aTarget, intercept + slope * *aTarget);
    }
    fmt::print("\n");
  }

private:
  std::vector<std::pair<double, double>> points_;
};

std::string
LoadAverage()
{
  std::ifstream file("/proc/loadavg");
  std::string one;
  std::string five;
  std::string fifteen;
  file >> one >> five >> fifteen;
  return fmt::format("{} {} {}", one, five, fifteen);
}

// The CSV file of a run, and the fits of its values.
class Report
{
public:
  explicit Report(const std::string& aPath)
    : file_(aPath)
  {
    file_ << fmt::format(
      "# shared machine of {} cores; load average at the start: {}; {}\n",
      sysconf(_SC_NPROCESSORS_ONLN),
      LoadAverage(),
      QDateTime::currentDateTimeUtc().toString(Qt::ISODate).toStdString());
    file_ << "sweep,size,host,thread,metric,value\n";
  }

  bool IsOpen() const { return file_.good(); }

  void Add(std::string_view aSweep,
           double aSize,
           std::string_view aHost,
           std::string_view aThread,
           std::string_view aMetric,
           double aValue)
  {
    file_ << fmt::format("{},{},{},{},{},{:.6g}\n",
                         aSweep,
                         aSize,
                         aHost,
                         aThread,
                         aMetric,
                         aValue)
          << std::flush;
    const std::string thread =
      aThread.empty() ? std::string() : fmt::format(" {}", aThread);
    fits_[fmt::format("{}: {}{}", aSweep, aMetric, thread)].Add(aSize, aValue);
  }

  // Also prints the sweep and size as the progress of the run.
  void AddLoadAverage(std::string_view aSweep, double aSize)
  {
    const std::string load = LoadAverage();
    fmt::print(stderr, "{} {}: load average {}\n", aSweep, aSize, load);
    file_ << fmt::format("{},{},machine,,load_average_1m,{}\n",
                         aSweep,
                         aSize,
                         load.substr(0, load.find(' ')))
          << std::flush;
  }

  void PrintFits() const
  {
    for (const auto& [name, line] : fits_) {
      if (name.starts_with("requests: requests_")) {
        continue;
      }
      std::optional<double> target;
      if (name.starts_with("hosts:")) {
        target = kTargetHosts;
      } else if (name.starts_with("contracts:")) {
        target = kTargetContracts;
      } else if (name.starts_with("backend_servers:")) {
        target = kTargetBackendServers;
      }
      line.Print(name, target);
    }
  }

private:
  std::ofstream file_;
  std::map<std::string, LinearFit> fits_;
};

using Usages = std::vector<ProcessUsage>;

Usages
ReadUsages(Fleet& aFleet)
{
  Usages usages;
  for (const Fleet::Host& host : aFleet.Hosts()) {
    usages.push_back(ProcessUsage::Read(host.process->ProcessId()));
  }
  return usages;
}

bool
StartFleet(Fleet& aFleet)
{
  if (aFleet.Start()) {
    return true;
  }
  // A large fleet on a busy machine takes longer to start than the timeout of
  // Fleet::Start, which is meant for tests.
  std::vector<const Fleet::Host*> hosts;
  for (const Fleet::Host& host : aFleet.Hosts()) {
    if (!host.process->IsRunning()) {
      fmt::print(stderr, "{} did not start\n", host.name);
      return false;
    }
    hosts.push_back(&host);
  }
  const bool isReady =
    aFleet.WaitUntilReady(hosts, static_cast<int>(hosts.size()), kReadyTimeout);
  if (!isReady) {
    fmt::print(stderr, "the fleet did not become ready\n");
  }
  return isReady;
}

// Measures CPU time and memory per host, and the store calls of all hosts, over
// a window without callers.
void
MeasureQuietWindow(Fleet& aFleet,
                   Report& aReport,
                   std::string_view aSweep,
                   int aSize)
{
  const QJsonObject callsBefore =
    aFleet.ControlResponseJson(aFleet.PlatformEndpoint(), "/control/counts");
  const Usages before = ReadUsages(aFleet);
  QElapsedTimer timer;
  timer.start();
  RunFor(seconds(FLAGS_quiet_s));
  const Usages after = ReadUsages(aFleet);
  const double elapsed = static_cast<double>(timer.nsecsElapsed()) / 1e9;
  const QJsonObject callsAfter =
    aFleet.ControlResponseJson(aFleet.PlatformEndpoint(), "/control/counts");
  for (std::size_t i = 0; i < before.size(); ++i) {
    const std::string& host = aFleet.Hosts()[i].name;
    const auto add = [&](std::string_view aMetric, double aValue) {
      aReport.Add(aSweep, aSize, host, "", aMetric, aValue);
    };
    add("cpu_percent",
        (after[i].cpuSeconds - before[i].cpuSeconds) / elapsed * 100);
    add("rss_kib", static_cast<double>(after[i].residentKib));
    add("rss_anon_kib", static_cast<double>(after[i].anonymousKib));
  }
  double total = 0;
  for (const QString& kind : callsAfter.keys()) {
    const double calls =
      callsAfter[kind].toDouble() - callsBefore[kind].toDouble();
    total += calls;
    aReport.Add(aSweep,
                aSize,
                "platform",
                "",
                fmt::format("platform_{}_per_s", kind.toStdString()),
                calls / elapsed);
  }
  aReport.Add(
    aSweep, aSize, "platform", "", "platform_calls_per_s", total / elapsed);
}

std::string
ServerJson(std::string_view aName,
           std::string_view aAddress,
           int aPort,
           std::string_view aRegion,
           std::string_view aDomain)
{
  return fmt::format(R"({{"name":"{}","address":"{}","port":{},"region":"{}",)"
                     R"("domain":"{}","slots":4,"connections":400}})",
                     aName,
                     aAddress,
                     aPort,
                     aRegion,
                     aDomain);
}

std::string
ServiceJson(std::string_view aName, const std::vector<std::string>& aServers)
{
  return fmt::format(
    R"({{"name":"{}","floor":0.5,"shed_status":503,"backend_servers":[{}]}})",
    aName,
    fmt::join(aServers, ","));
}

// Returns a configuration with the given numbers of contracts and backend
// servers. It includes the running backend servers of the fleet; the others do
// not exist.
std::string
ConfigurationJson(Fleet& aFleet,
                  const FleetPlan& aPlan,
                  int aContracts,
                  int aServers)
{
  std::vector<std::string> services;
  std::vector<std::string> servers;
  for (const Fleet::Backend& backend : aFleet.Backends()) {
    servers.push_back(ServerJson(backend.name,
                                 backend.endpoint.address,
                                 backend.endpoint.port,
                                 aPlan.region,
                                 backend.domain));
  }
  const int running = static_cast<int>(servers.size());
  services.push_back(ServiceJson(aPlan.service, servers));
  servers.clear();
  constexpr int kAddressesPerBlock = 250;
  constexpr int kUnusedPort = 9;
  for (int i = running; i < aServers; ++i) {
    const std::size_t domain =
      static_cast<std::size_t>(i) % aPlan.domains.size();
    servers.push_back(ServerJson(fmt::format("absent-{}", i),
                                 fmt::format("127.1.{}.{}",
                                             i / kAddressesPerBlock,
                                             i % kAddressesPerBlock + 1),
                                 kUnusedPort,
                                 aPlan.region,
                                 aPlan.domains[domain]));
    if (servers.size() == kServersPerService || i + 1 == aServers) {
      services.push_back(
        ServiceJson(fmt::format("absent-{}", services.size()), servers));
      servers.clear();
    }
  }
  std::vector<std::string> contracts;
  for (int i = 1; i <= aContracts; ++i) {
    contracts.push_back(
      fmt::format(R"({{"customer":"customer-{}","key_sha256":["{}"],)"
                  R"("services":["{}"],"requests_per_second":100}})",
                  i,
                  Sha256Hex(fmt::format("key-{}", i)),
                  aPlan.service));
  }
  return fmt::format(
    "{{\"services\":[{}],\n"
    "\"routes\":[{{\"path_prefix\":\"/work\",\"service\":\"{}\"}}],\n"
    "\"contracts\":[{}]}}\n",
    fmt::join(services, ",\n"),
    aPlan.service,
    fmt::join(contracts, ",\n"));
}

// Returns the logged since_acceptance_ms of revision 2, the first revision
// after the one that the fleet starts with.
std::optional<double>
SinceAcceptanceMs(const Fleet& aFleet, const Fleet::Host& aHost)
{
  static const QRegularExpression line(
    "event=configuration_in_force revision=2 .*since_acceptance_ms=(-?\\d+)");
  const auto match = line.match(QString::fromStdString(aFleet.LogOf(aHost)));
  if (!match.hasMatch()) {
    return std::nullopt;
  }
  return match.captured(1).toDouble();
}

bool
ApplyConfiguration(Fleet& aFleet, const std::string& aText)
{
  const QTemporaryDir folder;
  const std::string path = folder.filePath("configuration.json").toStdString();
  std::ofstream(path, std::ios::binary) << aText;
  int exitCode = 0;
  const std::string output = aFleet.RunTool({ "apply", path }, &exitCode);
  if (exitCode != 0) {
    fmt::print(stderr, "apply failed: {}\n", output.substr(0, 2'000));
    return false;
  }
  QElapsedTimer timer;
  timer.start();
  for (const Fleet::Host& host : aFleet.Hosts()) {
    while (!SinceAcceptanceMs(aFleet, host)) {
      if (timer.elapsed() > kInForceTimeout.count()) {
        fmt::print(
          stderr, "the configuration is not in force at {}\n", host.name);
        return false;
      }
      RunFor(milliseconds(50));
    }
  }
  return true;
}

bool
SweepHosts(Report& aReport)
{
  for (const int hosts : { 3, 12, 24, 48 }) {
    FleetPlan plan = PermitServicePlan();
    plan.hostsPerDomain = hosts / static_cast<int>(plan.domains.size());
    Fleet fleet(plan);
    if (!StartFleet(fleet)) {
      return false;
    }
    RunFor(kSettleTime);
    aReport.AddLoadAverage("hosts", hosts);
    MeasureQuietWindow(fleet, aReport, "hosts", hosts);
  }
  return true;
}

bool
SweepContracts(Report& aReport)
{
  for (const int contracts : { 1'000, 10'000, 80'000 }) {
    const FleetPlan plan = PermitServicePlan();
    Fleet fleet(plan);
    if (!StartFleet(fleet)) {
      return false;
    }
    const std::string text = ConfigurationJson(
      fleet, plan, contracts, static_cast<int>(fleet.Backends().size()));
    RunFor(kSettleTime);
    const Usages idle = ReadUsages(fleet);
    QElapsedTimer timer;
    timer.start();
    RunFor(kSettleTime);
    const double idleSeconds = static_cast<double>(timer.nsecsElapsed()) / 1e9;
    const Usages before = ReadUsages(fleet);
    aReport.AddLoadAverage("contracts", contracts);
    timer.start();
    if (!ApplyConfiguration(fleet, text)) {
      return false;
    }
    // Includes the work that a host does for the change after it has logged it.
    RunFor(seconds(2));
    const double elapsed = static_cast<double>(timer.nsecsElapsed()) / 1e9;
    const Usages after = ReadUsages(fleet);
    for (std::size_t i = 0; i < before.size(); ++i) {
      const Fleet::Host& host = fleet.Hosts()[i];
      const auto add = [&](std::string_view aMetric, double aValue) {
        aReport.Add("contracts", contracts, host.name, "", aMetric, aValue);
      };
      const double idleRate =
        (before[i].cpuSeconds - idle[i].cpuSeconds) / idleSeconds;
      add("cpu_seconds_above_idle",
          after[i].cpuSeconds - before[i].cpuSeconds - idleRate * elapsed);
      add("rss_anon_kib", static_cast<double>(after[i].anonymousKib));
      add("since_acceptance_ms", SinceAcceptanceMs(fleet, host).value_or(-1));
    }
  }
  return true;
}

bool
SweepBackendServers(Report& aReport)
{
  for (const int servers : { 36, 360, 3'600 }) {
    const FleetPlan plan = PermitServicePlan();
    Fleet fleet(plan);
    if (!StartFleet(fleet) ||
        !ApplyConfiguration(fleet,
                            ConfigurationJson(fleet, plan, 1, servers))) {
      return false;
    }
    RunFor(kSettleTime);
    aReport.AddLoadAverage("backend_servers", servers);
    MeasureQuietWindow(fleet, aReport, "backend_servers", servers);
  }
  return true;
}

// Sends requests at a constant rate. Returns how many were completed with
// status 200.
int
RunLoad(Fleet& aFleet, int aRate)
{
  Calls calls;
  QElapsedTimer timer;
  timer.start();
  const int requests = aRate * FLAGS_load_s;
  for (int i = 0; i < requests; ++i) {
    while (static_cast<double>(timer.nsecsElapsed()) / 1e9 * aRate < i) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
    const auto& hosts = aFleet.Hosts();
    HttpRequestHead head;
    head.method = "GET";
    head.target = "/work/1";
    head.fields.Set("X-Api-Key", "key-1");
    calls.push_back(
      HttpCall::Start(aFleet.Client(),
                      hosts[static_cast<std::size_t>(i) % hosts.size()].caller,
                      std::move(head),
                      {},
                      true));
  }
  WaitForAll(calls, milliseconds(30'000));
  return static_cast<int>(std::ranges::count_if(calls, [](const auto& aCall) {
    return aCall->IsComplete() && aCall->Status() == 200;
  }));
}

bool
SweepRequests(Report& aReport)
{
  FleetPlan plan = PermitServicePlan();
  plan.backendServersPerDomain = 4;
  plan.requestsPerSecond = 100'000;
  plan.backendFlags = { "--service_time_ms=5" };
  Fleet fleet(plan);
  if (!StartFleet(fleet)) {
    return false;
  }
  RunFor(kSettleTime);
  for (const int rate : { 50, 200, 800 }) {
    // Opens connections and fills caches before the window starts.
    RunLoad(fleet, rate / 5);
    aReport.AddLoadAverage("requests", rate);
    const Usages before = ReadUsages(fleet);
    QElapsedTimer timer;
    timer.start();
    const int sent = rate * FLAGS_load_s;
    const int completed = RunLoad(fleet, rate);
    const double elapsed = static_cast<double>(timer.nsecsElapsed()) / 1e9;
    const Usages after = ReadUsages(fleet);
    // The achieved rate is the size, so that the slope is the CPU time per
    // request and host.
    const double achievedRate = std::round(sent / elapsed * 10) / 10;
    aReport.Add("requests", achievedRate, "callers", "", "requests_sent", sent);
    aReport.Add(
      "requests", achievedRate, "callers", "", "requests_200", completed);
    for (std::size_t i = 0; i < before.size(); ++i) {
      const std::string& host = fleet.Hosts()[i].name;
      const auto add = [&](std::string_view aThread, double aSeconds) {
        aReport.Add("requests",
                    achievedRate,
                    host,
                    aThread,
                    "cpu_ms_per_s",
                    aSeconds * 1e3 / elapsed);
      };
      add("all", after[i].cpuSeconds - before[i].cpuSeconds);
      for (const auto& [thread, cpuSeconds] : after[i].cpuSecondsByThread) {
        const auto found = before[i].cpuSecondsByThread.find(thread);
        add(thread,
            cpuSeconds - (found == before[i].cpuSecondsByThread.end()
                            ? 0
                            : found->second));
      }
    }
  }
  return true;
}

} // namespace

int
main(int argc, char* argv[])
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const QCoreApplication application(argc, argv);
  Report report(FLAGS_output);
  if (!report.IsOpen()) {
    fmt::print(stderr, "cannot write {}\n", FLAGS_output);
    return 1;
  }
  const QStringList sweeps =
    QString::fromStdString(FLAGS_sweeps).split(',', Qt::SkipEmptyParts);
  bool isComplete = true;
  for (const QString& sweep : sweeps) {
    if (sweep == "hosts") {
      isComplete = SweepHosts(report) && isComplete;
    } else if (sweep == "contracts") {
      isComplete = SweepContracts(report) && isComplete;
    } else if (sweep == "backend_servers") {
      isComplete = SweepBackendServers(report) && isComplete;
    } else if (sweep == "requests") {
      isComplete = SweepRequests(report) && isComplete;
    } else {
      fmt::print(stderr, "unknown sweep: {}\n", sweep.toStdString());
      isComplete = false;
    }
  }
  report.PrintFits();
  return isComplete ? 0 : 1;
}
