#include "Fleet.h"

#include "base/Digest.h"

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpServer>

#include <fmt/format.h>

#include <fstream>
#include <utility>

namespace filbertbeam::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kApiKey = "key-1";
constexpr std::string_view kOperatorToken = "operator-token-of-tests";

// Below the ephemeral range; an outgoing connection could otherwise take a port
// before the process under test binds it.
constexpr int kFirstPort = 20'000;
constexpr int kPortBlocks = 30;
constexpr int kPortsPerBlock = 400;

// Returns the first port of a block that no other test program uses. This one
// holds it by listening on that port until it ends.
int
ReservePortBlock()
{
  static auto* const guard = new QTcpServer;
  auto block = static_cast<int>(QCoreApplication::applicationPid());
  int port = 0;
  do {
    port = kFirstPort + ++block % kPortBlocks * kPortsPerBlock;
  } while (
    !guard->listen(QHostAddress::LocalHost, static_cast<std::uint16_t>(port)));
  return port;
}

std::uint16_t
FreePort()
{
  static const int block = ReservePortBlock();
  static int next = 0;
  while (true) {
    next = next % (kPortsPerBlock - 1) + 1;
    const auto port = static_cast<std::uint16_t>(block + next);
    QTcpServer server;
    if (server.listen(QHostAddress::LocalHost, port)) {
      return port;
    }
  }
}

Endpoint
FreeEndpoint()
{
  return { "127.0.0.1", FreePort() };
}

std::string
EndpointText(const Endpoint& aEndpoint)
{
  return fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
}

QString
ToQString(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

} // namespace

FleetPlan
PermitServicePlan()
{
  FleetPlan plan;
  plan.region = "tt-north";
  plan.domains = { "piarco", "chaguanas", "san-juan" };
  plan.service = "permits";
  plan.prefer = "detection";
  plan.slots = 4;
  return plan;
}

FleetPlan
CommissionServicePlan()
{
  FleetPlan plan;
  plan.region = "th-north";
  plan.domains = { "th-north-a", "th-north-b", "th-north-c" };
  plan.service = "commissions";
  plan.prefer = "precision";
  plan.slots = 2;
  return plan;
}

Fleet::Fleet(FleetPlan aPlan)
  : plan_(std::move(aPlan))
  , client_(HttpClient::Create(HttpClientLimits{}))
{
}

std::unique_ptr<ChildProcess>
Fleet::MakeProcess(const std::string& aName,
                   const char* aProgram,
                   std::vector<std::string> aArguments)
{
  return std::make_unique<ChildProcess>(
    aProgram,
    std::move(aArguments),
    folder_.filePath(QString::fromStdString(aName + ".log")).toStdString());
}

std::string
Fleet::WriteFile(const std::string& aName, const std::string& aText)
{
  std::string path =
    folder_.filePath(QString::fromStdString(aName)).toStdString();
  std::ofstream(path, std::ios::binary) << aText;
  return path;
}

void
Fleet::MakeBackends()
{
  for (const std::string& domain : plan_.domains) {
    for (int i = 0; i < plan_.backendServersPerDomain; ++i) {
      Backend backend;
      backend.name = fmt::format("{}-{}-{}", plan_.service, domain, i + 1);
      backend.domain = domain;
      backend.endpoint = FreeEndpoint();
      std::vector<std::string> flags = {
        fmt::format("--port={}", backend.endpoint.port),
        fmt::format("--slots={}", plan_.slots),
        fmt::format("--seed={}", backends_.size() + 1)
      };
      flags.insert(
        flags.end(), plan_.backendFlags.begin(), plan_.backendFlags.end());
      backend.process =
        MakeProcess(backend.name, FILBERTBEAM_BACKEND, std::move(flags));
      backends_.push_back(std::move(backend));
    }
  }
}

void
Fleet::MakeHosts()
{
  const std::string secret =
    WriteFile("fleet.secret", "secret-of-the-fleet-under-test");
  const std::string token =
    WriteFile("operator.token", std::string(kOperatorToken));
  for (const std::string& domain : plan_.domains) {
    for (int i = 0; i < plan_.hostsPerDomain; ++i) {
      Host host;
      host.name = fmt::format("entry-{}-{}", domain, i + 1);
      host.domain = domain;
      host.caller = FreeEndpoint();
      host.relay = FreeEndpoint();
      host.control = FreeEndpoint();
      host.admin = FreeEndpoint();
      host.process =
        MakeProcess(host.name,
                    FILBERTBEAM_DAEMON,
                    { "--host=" + host.name,
                      "--region=" + plan_.region,
                      "--domain=" + domain,
                      "--caller_address=" + EndpointText(host.caller),
                      "--relay_address=" + EndpointText(host.relay),
                      "--control_address=" + EndpointText(host.control),
                      "--admin_address=" + EndpointText(host.admin),
                      "--platform=" + EndpointText(platformEndpoint_),
                      "--fleet_secret_file=" + secret,
                      "--operator_token_file=" + token });
      hosts_.push_back(std::move(host));
    }
  }
}

bool
Fleet::Start()
{
  platformEndpoint_ = FreeEndpoint();
  platform_ = MakeProcess("platform",
                          FILBERTBEAM_PLATFORM,
                          { fmt::format("--port={}", platformEndpoint_.port) });
  MakeBackends();
  MakeHosts();
  if (!platform_->Start()) {
    return false;
  }
  for (Backend& backend : backends_) {
    if (!backend.process->Start()) {
      return false;
    }
  }
  RunFor(milliseconds(300));
  Apply();
  std::vector<const Host*> all;
  for (Host& host : hosts_) {
    if (!host.process->Start()) {
      return false;
    }
    all.push_back(&host);
  }
  return WaitUntilReady(all, static_cast<int>(hosts_.size()), seconds(20));
}

std::string
Fleet::Apply(const std::vector<std::string>& aFlags)
{
  QJsonArray servers;
  for (const Backend& backend : backends_) {
    QJsonObject server;
    server["name"] = ToQString(backend.name);
    server["address"] = ToQString(backend.endpoint.address);
    server["port"] = backend.endpoint.port;
    server["region"] = ToQString(plan_.region);
    server["domain"] = ToQString(backend.domain);
    server["slots"] = plan_.slots;
    server["connections"] = 400;
    server["leaving"] = backend.isLeaving;
    servers.append(server);
  }
  QJsonObject service;
  service["name"] = ToQString(plan_.service);
  service["floor"] = plan_.floor;
  service["prefer"] = ToQString(plan_.prefer);
  service["shed_status"] = 503;
  service["backend_servers"] = servers;
  QJsonArray routes;
  for (const char* prefix : { "/work", "/bytes" }) {
    QJsonObject route;
    route["path_prefix"] = prefix;
    route["service"] = ToQString(plan_.service);
    routes.append(route);
  }
  QJsonObject contract;
  contract["customer"] = "customer-1";
  contract["key_sha256"] = QJsonArray{ ToQString(Sha256Hex(kApiKey)) };
  contract["services"] = QJsonArray{ ToQString(plan_.service) };
  contract["requests_per_second"] = plan_.requestsPerSecond;
  QJsonObject file;
  file["services"] = QJsonArray{ service };
  file["routes"] = routes;
  file["contracts"] = QJsonArray{ contract };
  const std::string path =
    WriteFile("configuration.json", QJsonDocument(file).toJson().toStdString());
  std::vector<std::string> arguments = { "apply", path };
  arguments.insert(arguments.end(), aFlags.begin(), aFlags.end());
  return RunTool(arguments);
}

std::string
Fleet::RunTool(const std::vector<std::string>& aArguments, int* aExitCode)
{
  QStringList arguments;
  for (const std::string& argument : aArguments) {
    arguments.append(QString::fromStdString(argument));
  }
  arguments.append(
    QString::fromStdString("--platform=" + EndpointText(platformEndpoint_)));
  arguments.append(
    QString::fromStdString("--operator_token_file=" +
                           folder_.filePath("operator.token").toStdString()));
  if (!hosts_.empty()) {
    arguments.append(
      QString::fromStdString("--admin=" + EndpointText(hosts_.front().admin)));
  }
  QProcess process;
  process.setProcessChannelMode(QProcess::MergedChannels);
  process.start(FILBERTBEAM_TOOL, arguments);
  while (process.state() != QProcess::NotRunning) {
    RunFor(milliseconds(20));
  }
  if (aExitCode) {
    *aExitCode = process.exitCode();
  }
  return process.readAll().toStdString();
}

std::shared_ptr<HttpCall>
Fleet::Request(const Host& aHost,
               std::string_view aMethod,
               std::string_view aTarget,
               std::string_view aBody,
               const std::vector<HttpField>& aFields)
{
  HttpRequestHead head;
  head.method = aMethod;
  head.target = aTarget;
  head.fields.Set("X-Api-Key", kApiKey);
  for (const HttpField& field : aFields) {
    head.fields.Set(field.name, field.value);
  }
  return HttpCall::Start(*client_, aHost.caller, std::move(head), aBody);
}

std::shared_ptr<HttpCall>
Fleet::ControlRequest(const Endpoint& aServer,
                      std::string_view aMethod,
                      std::string_view aTarget,
                      std::string_view aBody)
{
  HttpRequestHead head;
  head.method = aMethod;
  head.target = aTarget;
  head.fields.Set("Authorization", "Bearer " + std::string(kOperatorToken));
  auto call = HttpCall::Start(*client_, aServer, std::move(head), aBody);
  WaitForAll({ call }, seconds(3));
  return call;
}

QJsonObject
Fleet::ControlResponseJson(const Endpoint& aServer, std::string_view aTarget)
{
  const auto call = ControlRequest(aServer, "GET", aTarget);
  return QJsonDocument::fromJson(QByteArray::fromStdString(call->Body()))
    .object();
}

QJsonObject
Fleet::Status(const Host& aHost)
{
  return ControlResponseJson(aHost.admin, "/status");
}

bool
Fleet::WaitUntilReady(const std::vector<const Host*>& aHosts,
                      int aLiveHosts,
                      milliseconds aTimeout)
{
  QElapsedTimer timer;
  timer.start();
  for (const Host* host : aHosts) {
    while (true) {
      const QJsonObject status = Status(*host);
      int live = 0;
      const QJsonArray members = status["hosts"].toArray();
      for (const auto& member : members) {
        live += member.toObject()["state"] == "live" ? 1 : 0;
      }
      if (status["ready"].toBool() && live == aLiveHosts) {
        break;
      }
      if (timer.elapsed() > aTimeout.count()) {
        return false;
      }
      RunFor(milliseconds(50));
    }
  }
  return true;
}

int
Fleet::RunsOf(std::string_view aKind, std::string_view aId)
{
  int runs = 0;
  for (const Backend& backend : backends_) {
    const QJsonObject counts =
      ControlResponseJson(backend.endpoint, "/control/runs");
    runs += counts[ToQString(aKind)].toObject()[ToQString(aId)].toInt();
  }
  return runs;
}

int
Fleet::TotalRuns(const Backend& aBackend)
{
  return ControlResponseJson(aBackend.endpoint, "/control/runs")["runs"]
    .toInt();
}

void
Fleet::SetMode(const Backend& aBackend, std::string_view aMode)
{
  ControlRequest(
    aBackend.endpoint, "POST", "/control?mode=" + std::string(aMode));
}

void
Fleet::SetPlatformFault(std::string_view aFault)
{
  ControlRequest(platformEndpoint_, "POST", "/control?" + std::string(aFault));
}

} // namespace filbertbeam::testing
