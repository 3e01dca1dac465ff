#pragma once

#include "contracts/Contract.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

struct BackendServer
{
  std::string name;
  // IP address in text form.
  std::string address;
  std::uint16_t port = 0;
  std::string region;
  std::string domain;
  int slots = 1;
  int connections = 400;
  bool isLeaving = false;

  bool operator==(const BackendServer&) const = default;
};

// The kind of detection error that the operator wants to avoid, because it
// costs more: late detection or false ejections.
enum class DetectionPreference
{
  // Detect quickly, at the price of more false ejections.
  Detection,
  // Avoid false ejections, at the price of slower detection.
  Precision,
};

struct Service
{
  std::string name;
  // Minimum share of the configured backend servers that ejection leaves in
  // use.
  double floor = 0.7;
  DetectionPreference prefer = DetectionPreference::Detection;
  // Status with which a backend server refuses a request before running it.
  std::optional<int> shedStatus;
  // Share of requests that have to succeed; the burn rate is computed against
  // it.
  double availabilityObjective = 0.999;
  std::vector<BackendServer> backendServers;

  bool operator==(const Service&) const = default;
};

struct Route
{
  // Host of the request without port; empty matches every host.
  std::string host;
  std::string pathPrefix;
  std::string service;
  // Methods besides POST and PATCH that must run at most once.
  std::vector<std::string> nonIdempotentMethods;

  bool operator==(const Route&) const = default;
};

// A group of backend servers of one service in one failure domain, whose used
// slots are counted by one owner.
struct Shard
{
  // "service/domain/index"; the same on every host.
  std::string key;
  std::string service;
  std::string region;
  std::string domain;
  std::vector<const BackendServer*> backendServers;
  // Minimum share of them that ejection leaves in use. The floors of all shards
  // together keep the service's floor.
  double floor = 1;
};

inline constexpr std::size_t kMaxBackendServersPerShard = 32;

// One accepted configuration. It is immutable after Create, so threads can
// share it.
class Configuration
{
public:
  // The validated content of an operator's files.
  struct Content
  {
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<Contract> contracts;

    bool operator==(const Content&) const = default;
  };

  static std::shared_ptr<const Configuration> Create(std::uint64_t aRevision,
                                                     Content aContent);

  // The lookups point into the content, so a copy would refer to the original.
  Configuration(const Configuration&) = delete;
  Configuration& operator=(const Configuration&) = delete;

  std::uint64_t Revision() const { return revision_; }
  const Content& Data() const { return content_; }

  const Contract* FindContractByKeySha256(std::string_view aKeySha256) const;
  const Contract* FindContract(std::string_view aCustomer) const;
  const Service* FindService(std::string_view aName) const;
  // Returns the route with the longest matching path prefix; of equally long
  // ones, the route that names the host. A prefix matches at segment
  // boundaries: "/a" matches "/a" and "/a/b", not "/ab". aPath has no query.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;

  std::span<const Shard> ShardsOf(std::string_view aService) const;
  const Shard* FindShard(std::string_view aKey) const;

private:
  Configuration(std::uint64_t aRevision, Content aContent);

  std::uint64_t revision_;
  Content content_;
  std::unordered_map<std::string_view, const Contract*> contractsByKey_;
  std::unordered_map<std::string_view, const Contract*> contractsByCustomer_;
  std::unordered_map<std::string_view, const Service*> servicesByName_;
  // Routes by host, the longest prefix first.
  std::unordered_map<std::string_view, std::vector<const Route*>> routesByHost_;
  std::unordered_map<std::string_view, std::vector<Shard>> shardsByService_;
  std::unordered_map<std::string_view, const Shard*> shardsByKey_;
};

} // namespace filbertbeam
