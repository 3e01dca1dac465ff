// Measures the time and memory that a configuration needs for a given number of
// contracts, with the services, backend servers and routes of the target size.
// Prints one CSV line. Each size needs its own process, so that the peak memory
// belongs to this size.

#include "base/Digest.h"
#include "base/SeededRandom.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationHead.h"
#include "configuration/ConfigurationParts.h"
#include "configuration/ConfigurationReader.h"
#include "configuration/ConfigurationWriter.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <unordered_set>

DEFINE_int32(contracts, 1000, "Number of contracts");
DEFINE_int32(services, 400, "Number of services");
DEFINE_int32(backend_servers, 11'000, "Number of backend servers, in total");
DEFINE_int32(routes, 17'000, "Number of routes");
DEFINE_bool(header, false, "Print the column names first");

using namespace filbertbeam;

namespace {

constexpr int kLookups = 200'000;

Configuration::Content
MakeContent(int aContracts)
{
  SeededRandom random(1);
  Configuration::Content content;
  for (int i = 0; i < FLAGS_services; ++i) {
    Service service;
    service.name = fmt::format("service-{}", i);
    content.services.push_back(service);
  }
  for (int i = 0; i < FLAGS_backend_servers; ++i) {
    BackendServer backendServer;
    backendServer.name = fmt::format("backend-{}", i);
    backendServer.address =
      fmt::format("10.{}.{}.{}", i / 62'500, i / 250 % 250, i % 250 + 1);
    backendServer.port = 8080;
    backendServer.domain = fmt::format("domain-{}", i % 15);
    backendServer.region = fmt::format("region-{}", i % 15 % 6);
    backendServer.slots = 4;
    content.services[i % FLAGS_services].backendServers.push_back(
      backendServer);
  }
  for (int i = 0; i < FLAGS_routes; ++i) {
    content.routes.push_back({ i % 2 == 0 ? "" : fmt::format("h{}", i % 100),
                               fmt::format("/v1/area-{}/item-{}", i % 300, i),
                               fmt::format("service-{}", i % FLAGS_services),
                               {} });
  }
  for (int i = 0; i < aContracts; ++i) {
    Contract contract;
    contract.customer = fmt::format("workspace-{}", i);
    contract.keySha256.push_back(Sha256Hex(contract.customer));
    for (int j = 0; j < 2; ++j) {
      contract.services.push_back(
        fmt::format("service-{}", (i + 7 * j) % FLAGS_services));
    }
    contract.requestsPerSecond =
      static_cast<double>(1 + random.Below(1'000)) / 10;
    content.contracts.push_back(contract);
  }
  return content;
}

// Returns a value of /proc/self/status in KiB, or -1 when it is missing.
long
MemoryKib(const std::string& aName)
{
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(aName + ':')) {
      return std::stol(line.substr(aName.size() + 1));
    }
  }
  return -1;
}

long
ResidentKib()
{
  malloc_trim(0);
  return MemoryKib("VmRSS");
}

template<typename Action>
double
Milliseconds(Action aAction)
{
  const auto start = std::chrono::steady_clock::now();
  aAction();
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - start)
    .count();
}

using Parts = std::map<std::string, std::shared_ptr<const std::string>>;

Parts
Split(const Configuration::Content& aContent, ConfigurationHead& aHead)
{
  std::string reason;
  const auto parts = ConfigurationParts::Split(aContent, reason);
  Parts partsBySha256;
  if (!parts) {
    fmt::print(stderr, "{}\n", reason);
    return partsBySha256;
  }
  for (const ConfigurationPart& part : *parts) {
    aHead.parts.push_back({ part.sha256, part.text->size() });
    partsBySha256[part.sha256] = part.text;
  }
  return partsBySha256;
}

std::size_t
SizeOf(const Parts& aParts, const Parts& aKnown)
{
  std::size_t bytes = 0;
  for (const auto& [sha256, text] : aParts) {
    bytes += aKnown.contains(sha256) ? 0 : text->size();
  }
  return bytes;
}

} // namespace

int
main(int argc, char* argv[])
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const Configuration::Content generatedContent = MakeContent(FLAGS_contracts);
  const std::string text = ConfigurationWriter::Write(generatedContent);

  bool isRead = false;
  const double readMs = Milliseconds([&] {
    ConfigurationReader reader;
    reader.Add("sweep", text);
    isRead = reader.Finish().has_value();
  });

  ConfigurationHead head;
  head.acceptance = { 1, std::string(32, 'a'), "sweep", {} };
  Parts parts;
  const double splitMs =
    Milliseconds([&] { parts = Split(generatedContent, head); });
  Configuration::Content changed = generatedContent;
  changed.contracts[0].requestsPerSecond += 1;
  ConfigurationHead changedHead;
  const std::size_t changedBytes = SizeOf(Split(changed, changedHead), parts);
  changed = {};

  const long before = ResidentKib();
  std::string reason;
  std::optional<Configuration::Content> joined;
  const double joinMs = Milliseconds([&] {
    joined = ConfigurationParts::Join(
      head,
      [&](std::string_view aSha256) { return parts.at(std::string(aSha256)); },
      reason);
  });
  if (!isRead || !joined) {
    fmt::print(stderr, "the configuration was not accepted: {}\n", reason);
    return 1;
  }
  std::shared_ptr<const Configuration> configuration;
  const double createMs = Milliseconds(
    [&] { configuration = Configuration::Create(1, std::move(*joined)); });
  joined.reset();
  const long configurationKib = ResidentKib() - before;

  SeededRandom random(2);
  std::size_t found = 0;
  const double contractMs = Milliseconds([&] {
    for (int i = 0; i < kLookups; ++i) {
      const Contract& contract =
        generatedContent
          .contracts[random.Below(generatedContent.contracts.size())];
      found +=
        configuration->FindContractByKeySha256(contract.keySha256[0]) ? 1 : 0;
    }
  });
  const double routeMs = Milliseconds([&] {
    for (int i = 0; i < kLookups; ++i) {
      const Route& route =
        generatedContent.routes[random.Below(generatedContent.routes.size())];
      found += configuration->FindRoute(route.host, route.pathPrefix) ? 1 : 0;
    }
  });
  if (found != 2ULL * kLookups) {
    fmt::print(stderr, "a lookup failed\n");
    return 1;
  }

  if (FLAGS_header) {
    fmt::print("contracts,services,backend_servers,routes,file_bytes,"
               "read_file_ms,split_ms,parts,part_bytes,head_bytes,"
               "bytes_of_one_changed_contract,join_ms,create_ms,"
               "configuration_kib,peak_kib,find_contract_ns,find_route_ns\n");
  }
  constexpr double kNanosecondsPerLookup = 1e6 / kLookups;
  fmt::print("{},{},{},{},{},{:.1f},{:.1f},{},{},{},{},{:.1f},{:.1f},{},{},"
             "{:.0f},{:.0f}\n",
             FLAGS_contracts,
             FLAGS_services,
             FLAGS_backend_servers,
             FLAGS_routes,
             text.size(),
             readMs,
             splitMs,
             parts.size(),
             SizeOf(parts, {}),
             head.Format().size(),
             changedBytes,
             joinMs,
             createMs,
             configurationKib,
             MemoryKib("VmHWM"),
             contractMs * kNanosecondsPerLookup,
             routeMs * kNanosecondsPerLookup);
  return 0;
}
