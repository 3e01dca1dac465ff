#include "cli/ConfigurationDifference.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <map>
#include <utility>

namespace filbertbeam {

namespace {

template<typename Value>
std::string
ToText(const Value& aValue)
{
  return fmt::format("{}", aValue);
}

std::string
ToText(const std::vector<std::string>& aValues)
{
  return aValues.empty() ? "none" : fmt::format("{}", fmt::join(aValues, ", "));
}

std::string
ToText(const std::optional<int>& aValue)
{
  return aValue ? fmt::format("{}", *aValue) : "none";
}

std::string
ToText(DetectionPreference aPreference)
{
  return aPreference == DetectionPreference::Precision ? "precision"
                                                       : "detection";
}

class FieldList
{
public:
  template<typename Value>
  void Compare(const char* aField, const Value& aBefore, const Value& aAfter)
  {
    if (!(aBefore == aAfter)) {
      fields_.push_back({ aField, ToText(aBefore), ToText(aAfter) });
    }
  }

  std::vector<FieldChange> Take() { return std::move(fields_); }

private:
  std::vector<FieldChange> fields_;
};

std::vector<FieldChange>
CompareFields(const BackendServer& aBefore, const BackendServer& aAfter)
{
  FieldList fields;
  fields.Compare("address", aBefore.address, aAfter.address);
  fields.Compare("port", aBefore.port, aAfter.port);
  fields.Compare("region", aBefore.region, aAfter.region);
  fields.Compare("domain", aBefore.domain, aAfter.domain);
  fields.Compare("slots", aBefore.slots, aAfter.slots);
  fields.Compare("connections", aBefore.connections, aAfter.connections);
  fields.Compare("leaving", aBefore.isLeaving, aAfter.isLeaving);
  return fields.Take();
}

// Returns the names of the backend servers that both services have, in the
// order of aService.
std::vector<std::string>
CommonNames(const Service& aService, const Service& aOther)
{
  std::map<std::string_view, int> known;
  for (const BackendServer& backendServer : aOther.backendServers) {
    known.emplace(backendServer.name, 0);
  }
  std::vector<std::string> names;
  for (const BackendServer& backendServer : aService.backendServers) {
    if (known.contains(backendServer.name)) {
      names.push_back(backendServer.name);
    }
  }
  return names;
}

std::vector<FieldChange>
CompareFields(const Service& aBefore, const Service& aAfter)
{
  FieldList fields;
  fields.Compare("floor", aBefore.floor, aAfter.floor);
  fields.Compare("prefer", aBefore.prefer, aAfter.prefer);
  fields.Compare("shed_status", aBefore.shedStatus, aAfter.shedStatus);
  fields.Compare("availability_objective",
                 aBefore.availabilityObjective,
                 aAfter.availabilityObjective);
  fields.Compare("order of backend_servers",
                 CommonNames(aBefore, aAfter),
                 CommonNames(aAfter, aBefore));
  return fields.Take();
}

std::vector<FieldChange>
CompareFields(const Route& aBefore, const Route& aAfter)
{
  FieldList fields;
  fields.Compare("service", aBefore.service, aAfter.service);
  fields.Compare("non_idempotent_methods",
                 aBefore.nonIdempotentMethods,
                 aAfter.nonIdempotentMethods);
  return fields.Take();
}

std::vector<FieldChange>
CompareFields(const Contract& aBefore, const Contract& aAfter)
{
  FieldList fields;
  fields.Compare("key_sha256", aBefore.keySha256, aAfter.keySha256);
  fields.Compare("services", aBefore.services, aAfter.services);
  fields.Compare(
    "requests_per_second", aBefore.requestsPerSecond, aAfter.requestsPerSecond);
  return fields.Take();
}

template<typename Item>
using ItemsByName = std::map<std::string, const Item*>;

template<typename Item>
void
AppendChanges(const char* aWhat,
              const ItemsByName<Item>& aBefore,
              const ItemsByName<Item>& aAfter,
              std::vector<ConfigurationChange>& aChanges)
{
  for (const auto& [name, item] : aBefore) {
    const auto found = aAfter.find(name);
    if (found == aAfter.end()) {
      aChanges.push_back({ ChangeKind::Removed, aWhat, name, {} });
      continue;
    }
    std::vector<FieldChange> fields = CompareFields(*item, *found->second);
    if (!fields.empty()) {
      aChanges.push_back(
        { ChangeKind::Changed, aWhat, name, std::move(fields) });
    }
  }
  for (const auto& [name, item] : aAfter) {
    if (!aBefore.contains(name)) {
      aChanges.push_back({ ChangeKind::Added, aWhat, name, {} });
    }
  }
}

struct ContentIndex
{
  explicit ContentIndex(const Configuration::Content& aContent)
  {
    for (const Service& service : aContent.services) {
      services.emplace(service.name, &service);
      for (const BackendServer& backendServer : service.backendServers) {
        backendServers.emplace(service.name + '/' + backendServer.name,
                               &backendServer);
      }
    }
    for (const Route& route : aContent.routes) {
      routes.emplace(route.host + route.pathPrefix, &route);
    }
    for (const Contract& contract : aContent.contracts) {
      contracts.emplace(contract.customer, &contract);
    }
  }

  ItemsByName<Service> services;
  ItemsByName<BackendServer> backendServers;
  ItemsByName<Route> routes;
  ItemsByName<Contract> contracts;
};

} // namespace

std::vector<ConfigurationChange>
CompareConfigurations(const Configuration::Content& aBefore,
                      const Configuration::Content& aAfter)
{
  const ContentIndex before(aBefore);
  const ContentIndex after(aAfter);
  std::vector<ConfigurationChange> changes;
  AppendChanges("service", before.services, after.services, changes);
  AppendChanges(
    "backend server", before.backendServers, after.backendServers, changes);
  AppendChanges("route", before.routes, after.routes, changes);
  AppendChanges("contract", before.contracts, after.contracts, changes);
  return changes;
}

} // namespace filbertbeam
