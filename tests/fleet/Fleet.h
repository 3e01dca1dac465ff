#pragma once

#include "ChildProcess.h"
#include "HttpCall.h"

#include <QJsonObject>
#include <QTemporaryDir>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertbeam::testing {

// The hosts, the service and the backend servers of a fleet under test.
struct FleetPlan
{
  std::string region;
  std::vector<std::string> domains;
  int hostsPerDomain = 1;
  std::string service;
  std::string prefer = "detection";
  double floor = 0.5;
  int backendServersPerDomain = 1;
  int slots = 4;
  double requestsPerSecond = 100;
  // Additional flags of each simulated backend server.
  std::vector<std::string> backendFlags;
};

// A permit service with the preference "detection" and 4 slots per backend
// server.
FleetPlan
PermitServicePlan();
// A commission service with the preference "precision" and 2 slots per backend
// server.
FleetPlan
CommissionServicePlan();

// The simulated platform, backend servers and hosts, each in its own process on
// 127.0.0.1. The routes "/work" and "/bytes" lead to the service. The only
// customer has the API key "key-1".
class Fleet
{
public:
  struct Host
  {
    std::string name;
    std::string domain;
    Endpoint caller;
    Endpoint relay;
    Endpoint control;
    Endpoint admin;
    std::unique_ptr<ChildProcess> process;
  };
  struct Backend
  {
    std::string name;
    std::string domain;
    Endpoint endpoint;
    std::unique_ptr<ChildProcess> process;
    bool isLeaving = false;
  };

  explicit Fleet(FleetPlan aPlan);

  // Starts all processes, applies the configuration and waits until all hosts
  // are ready and list each other as live.
  bool Start();

  std::vector<Host>& Hosts() { return hosts_; }
  std::vector<Backend>& Backends() { return backends_; }
  ChildProcess& Platform() { return *platform_; }
  const Endpoint& PlatformEndpoint() const { return platformEndpoint_; }
  HttpClient& Client() { return *client_; }

  // Writes the configuration file from the plan and from which backend servers
  // are marked as leaving, and applies it with the command line tool. Returns
  // the output of the tool.
  std::string Apply(const std::vector<std::string>& aFlags = {});
  // Runs the command line tool until it exits. Returns its output and stores
  // its exit code in aExitCode.
  std::string RunTool(const std::vector<std::string>& aArguments,
                      int* aExitCode = nullptr);

  // Starts a request of the customer to a host.
  std::shared_ptr<HttpCall> Request(const Host& aHost,
                                    std::string_view aMethod,
                                    std::string_view aTarget,
                                    std::string_view aBody = {},
                                    const std::vector<HttpField>& aFields = {});

  // Sends a request to a stand-in or an admin endpoint and waits for its
  // response.
  std::shared_ptr<HttpCall> ControlRequest(const Endpoint& aServer,
                                           std::string_view aMethod,
                                           std::string_view aTarget,
                                           std::string_view aBody = {});
  QJsonObject ControlResponseJson(const Endpoint& aServer,
                                  std::string_view aTarget);

  // Returns the status from the admin endpoint of a host, or an empty object
  // when the host does not respond.
  QJsonObject Status(const Host& aHost);
  bool WaitUntilReady(const std::vector<const Host*>& aHosts,
                      int aLiveHosts,
                      std::chrono::milliseconds aTimeout);
  // Returns how often the request with this X-Request-Id (kind "requests") or
  // Idempotency-Key (kind "keys") ran, summed over all backend servers.
  int RunsOf(std::string_view aKind, std::string_view aId);
  int TotalRuns(const Backend& aBackend);
  void SetMode(const Backend& aBackend, std::string_view aMode);
  void SetPlatformFault(std::string_view aFault);

  std::string LogOf(const Host& aHost) const { return aHost.process->Log(); }

private:
  std::unique_ptr<ChildProcess> MakeProcess(
    const std::string& aName,
    const char* aProgram,
    std::vector<std::string> aArguments);
  void MakeBackends();
  void MakeHosts();
  std::string WriteFile(const std::string& aName, const std::string& aText);

  const FleetPlan plan_;
  QTemporaryDir folder_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<ChildProcess> platform_;
  Endpoint platformEndpoint_;
  std::vector<Backend> backends_;
  std::vector<Host> hosts_;
};

} // namespace filbertbeam::testing
