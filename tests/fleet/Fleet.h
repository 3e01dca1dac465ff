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

// What a fleet of the test consists of.
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
  // Further flags of each simulated backend server.
  std::vector<std::string> backendFlags;
};

// The Authority's permit service, in small.
FleetPlan
PermitServicePlan();
// Saengthong's commission service, in small.
FleetPlan
CommissionServicePlan();

// A platform, backend servers and hosts, each a process of its own on
// 127.0.0.1. Routes "/work" and "/bytes" lead to the service; the API key of
// the one customer is "key-1".
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

  // Starts everything, applies the configuration and waits until all hosts
  // see each other and are ready.
  bool Start();

  std::vector<Host>& Hosts() { return hosts_; }
  std::vector<Backend>& Backends() { return backends_; }
  ChildProcess& Platform() { return *platform_; }
  const Endpoint& PlatformEndpoint() const { return platformEndpoint_; }
  HttpClient& Client() { return *client_; }

  // Writes the configuration file from the plan and the backend servers'
  // marks, and applies it with the operators' tool; its output.
  std::string Apply(const std::vector<std::string>& aFlags = {});
  // Runs the operators' tool to its end; its output, and its exit code.
  std::string RunTool(const std::vector<std::string>& aArguments,
                      int* aExitCode = nullptr);

  // A request of the customer to a host.
  std::shared_ptr<HttpCall> Request(const Host& aHost,
                                    std::string_view aMethod,
                                    std::string_view aTarget,
                                    std::string_view aBody = {},
                                    const std::vector<HttpField>& aFields = {});

  // A request to a stand-in or an admin endpoint, to its end.
  std::shared_ptr<HttpCall> ControlRequest(const Endpoint& aServer,
                                           std::string_view aMethod,
                                           std::string_view aTarget,
                                           std::string_view aBody = {});
  QJsonObject ControlResponseJson(const Endpoint& aServer,
                                  std::string_view aTarget);

  // Status of a host from its admin endpoint; empty when it does not answer.
  QJsonObject Status(const Host& aHost);
  bool WaitUntilReady(const std::vector<const Host*>& aHosts,
                      int aLiveHosts,
                      std::chrono::milliseconds aTimeout);
  // How often the request with this X-Request-Id or Idempotency-Key ran on
  // all backend servers together.
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
