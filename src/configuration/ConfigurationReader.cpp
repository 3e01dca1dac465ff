#include "configuration/ConfigurationReader.h"

#include "base/AsciiText.h"
#include "base/Digest.h"
#include "configuration/ConfigurationText.h"
#include "configuration/Suggestion.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::size_t kSha256Digits = 64;

} // namespace

void
ConfigurationReader::Add(std::string_view aSource, std::string_view aText)
{
  sources_.emplace_back(aSource);
  if (aText.size() > kMaxFileBytes) {
    findings_.Add({ sources_.back(),
                    0,
                    "",
                    fmt::format("is larger than {} bytes", kMaxFileBytes) });
    return;
  }
  QJsonParseError error;
  const QJsonDocument document = QJsonDocument::fromJson(
    QByteArray::fromRawData(aText.data(), static_cast<qsizetype>(aText.size())),
    &error);
  if (error.error != QJsonParseError::NoError) {
    findings_.Add(
      { sources_.back(),
        LineAt(aText, static_cast<std::size_t>(std::max(error.offset, 0))),
        "",
        "is not valid JSON: " + error.errorString().toStdString() });
    return;
  }
  const std::optional<JsonPositions> positions = JsonPositions::Create(aText);
  if (!positions) {
    findings_.Add({ sources_.back(), 0, "", "is not valid JSON" });
    return;
  }
  const JsonSource json{ sources_.back(), *positions, findings_ };
  const JsonField root(json,
                       document.isObject() ? QJsonValue(document.object())
                                           : QJsonValue(document.array()));
  if (!root.IsObject({ "services", "routes", "contracts" })) {
    return;
  }
  if (const auto services = root.Optional("services")) {
    services->ForEachItem(
      [this](const JsonField& aItem) { ReadService(aItem); });
  }
  if (const auto routes = root.Optional("routes")) {
    routes->ForEachItem([this](const JsonField& aItem) { ReadRoute(aItem); });
  }
  if (const auto contracts = root.Optional("contracts")) {
    contracts->ForEachItem(
      [this](const JsonField& aItem) { ReadContract(aItem); });
  }
}

std::optional<Configuration::Content>
ConfigurationReader::Finish()
{
  CheckReferences();
  if (!findings_.IsEmpty()) {
    return std::nullopt;
  }
  return std::move(content_);
}

void
ConfigurationReader::ReadService(const JsonField& aObject)
{
  if (!aObject.IsObject({ "name",
                          "floor",
                          "prefer",
                          "shed_status",
                          "availability_objective",
                          "backend_servers" })) {
    return;
  }
  Service service;
  if (const auto field = aObject.Required("name")) {
    if (auto name = field->Name()) {
      CheckUnique(*field, services_, *name, "the service");
      service.name = std::move(*name);
    }
  }
  if (const auto field = aObject.Optional("floor")) {
    const std::optional<double> floor = field->Number();
    if (floor && !(*floor >= kMinFloor && *floor <= 1)) {
      field->ReportFault(fmt::format("must be from {} to 1", kMinFloor));
    }
    service.floor = floor.value_or(service.floor);
  }
  if (const auto field = aObject.Optional("prefer")) {
    const std::optional<std::string> preference = field->String();
    if (preference == "precision") {
      service.prefer = DetectionPreference::Precision;
    } else if (preference && preference != "detection") {
      field->ReportFault("must be \"detection\" or \"precision\"");
    }
  }
  if (const auto field = aObject.Optional("shed_status")) {
    service.shedStatus = field->Integer(400, 599);
  }
  if (const auto field = aObject.Optional("availability_objective")) {
    const std::optional<double> objective = field->Number();
    // An objective of 1 leaves no error budget, so that the burn rate would be
    // undefined.
    if (objective && !(*objective > 0 && *objective < 1)) {
      field->ReportFault("must be greater than 0 and less than 1");
    }
    service.availabilityObjective =
      objective.value_or(service.availabilityObjective);
  }
  if (const auto field = aObject.Required("backend_servers")) {
    Locations names;
    Locations endpoints;
    field->ForEachItem([&](const JsonField& aItem) {
      const std::size_t count = service.backendServers.size();
      ReadBackendServer(aItem, service);
      if (service.backendServers.size() == count) {
        return;
      }
      const BackendServer& added = service.backendServers.back();
      if (!added.name.empty()) {
        CheckUnique(
          aItem, names, added.name, "the backend server " + added.name);
      }
      if (!added.address.empty() && added.port != 0) {
        // With two entries for one server, its slots would be counted twice.
        const std::string endpoint =
          fmt::format("{} port {}", added.address, added.port);
        CheckUnique(aItem, endpoints, endpoint, "the address " + endpoint);
      }
    });
    if (field->IsEmptyList()) {
      field->ReportFault("must list at least one backend server");
    }
  }
  content_.services.push_back(std::move(service));
}

void
ConfigurationReader::ReadBackendServer(const JsonField& aObject,
                                       Service& aService)
{
  if (!aObject.IsObject({ "name",
                          "address",
                          "port",
                          "region",
                          "domain",
                          "slots",
                          "connections",
                          "leaving" })) {
    return;
  }
  BackendServer backendServer;
  const auto readName = [&](std::string_view aField, std::string& aTarget) {
    if (const auto field = aObject.Required(aField)) {
      aTarget = field->Name().value_or("");
    }
  };
  readName("name", backendServer.name);
  if (const auto field = aObject.Required("address")) {
    if (auto address = field->String()) {
      if (IsUnicastAddress(*address)) {
        backendServer.address = std::move(*address);
      } else {
        field->ReportFault("must be the IP address of one server, for example "
                           "\"10.1.0.7\" or \"fd00::7\"");
      }
    }
  }
  if (const auto field = aObject.Required("port")) {
    backendServer.port =
      static_cast<std::uint16_t>(field->Integer(1, 65'535).value_or(0));
  }
  readName("region", backendServer.region);
  readName("domain", backendServer.domain);
  if (!backendServer.region.empty() && !backendServer.domain.empty()) {
    const std::string& region =
      regionOfDomain_.emplace(backendServer.domain, backendServer.region)
        .first->second;
    if (region != backendServer.region) {
      aObject.Required("domain")->ReportFault(
        fmt::format("is in region {} here and in region {} before",
                    backendServer.region,
                    region));
    }
  }
  if (const auto field = aObject.Optional("slots")) {
    backendServer.slots =
      field->Integer(1, kMaxSlots).value_or(backendServer.slots);
  }
  const auto connections = aObject.Optional("connections");
  if (connections) {
    backendServer.connections = connections->Integer(1, kMaxConnections)
                                  .value_or(backendServer.connections);
  }
  // Every running request uses a slot and a connection.
  if (backendServer.connections < backendServer.slots) {
    const auto field = connections ? connections : aObject.Optional("slots");
    field->ReportFault(fmt::format("{} connections cannot serve {} slots",
                                   backendServer.connections,
                                   backendServer.slots));
  }
  if (const auto field = aObject.Optional("leaving")) {
    backendServer.isLeaving = field->Boolean().value_or(false);
  }
  aService.backendServers.push_back(std::move(backendServer));
}

void
ConfigurationReader::ReadRoute(const JsonField& aObject)
{
  if (!aObject.IsObject(
        { "host", "path_prefix", "service", "non_idempotent_methods" })) {
    return;
  }
  Route route;
  const int index = static_cast<int>(content_.routes.size());
  bool isHostValid = true;
  if (const auto field = aObject.Optional("host")) {
    route.host = field->String().value_or("");
    route.host = LowerCase(route.host);
    isHostValid = IsRouteHost(route.host);
    if (!isHostValid) {
      field->ReportFault(
        "must be a host name without port, or empty for every host");
    }
  }
  if (const auto field = aObject.Required("path_prefix")) {
    if (auto prefix = field->String()) {
      if (!IsPathPrefix(*prefix)) {
        field->ReportFault(
          fmt::format("must start with '/', have no space, '?' or "
                      "'#', and at most {} characters",
                      kMaxPathPrefixLength));
      } else if (isHostValid) {
        CheckUnique(
          *field, routes_, route.host + ' ' + *prefix, "the same route");
      }
      route.pathPrefix = std::move(*prefix);
    }
  }
  if (const auto field = aObject.Required("service")) {
    if (auto service = field->String()) {
      route.service = std::move(*service);
      references_.push_back({ LocationOf(*field), aObject.Index(), index, -1 });
    }
  }
  if (const auto field = aObject.Optional("non_idempotent_methods")) {
    field->ForEachItem([&](const JsonField& aItem) {
      auto method = aItem.String();
      if (!method) {
        return;
      }
      auto& methods = route.nonIdempotentMethods;
      if (!IsToken(*method)) {
        aItem.ReportFault("must be a method of HTTP, for example \"PUT\"");
      } else if (std::find(methods.begin(), methods.end(), *method) !=
                 methods.end()) {
        aItem.ReportFault("is listed twice");
      }
      methods.push_back(std::move(*method));
    });
  }
  content_.routes.push_back(std::move(route));
}

void
ConfigurationReader::ReadContract(const JsonField& aObject)
{
  if (!aObject.IsObject(
        { "customer", "key_sha256", "services", "requests_per_second" })) {
    return;
  }
  Contract contract;
  const int index = static_cast<int>(content_.contracts.size());
  if (const auto field = aObject.Required("customer")) {
    if (auto customer = field->Name()) {
      CheckUnique(*field, customers_, *customer, "the contract");
      contract.customer = std::move(*customer);
    }
  }
  if (const auto field = aObject.Required("key_sha256")) {
    ReadKeys(*field, contract);
  }
  if (const auto field = aObject.Required("services")) {
    std::unordered_set<std::string> seen;
    field->ForEachItem([&](const JsonField& aItem) {
      auto service = aItem.String();
      if (!service) {
        return;
      }
      if (!seen.insert(*service).second) {
        aItem.ReportFault("is listed twice");
      }
      references_.push_back({ LocationOf(aItem),
                              aObject.Index(),
                              index,
                              static_cast<int>(contract.services.size()) });
      contract.services.push_back(std::move(*service));
    });
    if (field->IsEmptyList()) {
      field->ReportFault("must list at least one service");
    }
  }
  if (const auto field = aObject.Required("requests_per_second")) {
    if (const auto rate = field->Number()) {
      if (!(*rate > 0)) {
        field->ReportFault("must be greater than 0");
      } else if (*rate > kMaxRequestsPerSecond) {
        field->ReportFault(
          fmt::format("must be at most {}", kMaxRequestsPerSecond));
      }
      contract.requestsPerSecond = *rate;
    }
  }
  content_.contracts.push_back(std::move(contract));
}

void
ConfigurationReader::ReadKeys(const JsonField& aObject, Contract& aContract)
{
  aObject.ForEachItem([&](const JsonField& aItem) {
    auto key = aItem.String();
    if (!key) {
      return;
    }
    *key = LowerCase(*key);
    // The message omits the text, which may be the API key itself.
    if (key->size() != kSha256Digits ||
        key->find_first_not_of("0123456789abcdef") != std::string::npos) {
      aItem.ReportFault(
        "must be the SHA-256 of an API key, 64 hexadecimal digits; "
        "\"filbertbeam hash-key\" prints it");
      return;
    }
    static const std::string kEmptyKeyHash = Sha256Hex({});
    if (*key == kEmptyKeyHash) {
      aItem.ReportFault("is the SHA-256 of an empty key");
      return;
    }
    CheckUnique(aItem, keys_, *key, "the same key");
    aContract.keySha256.push_back(std::move(*key));
  });
  if (aObject.IsEmptyList()) {
    aObject.ReportFault("must list at least one key");
  }
}

void
ConfigurationReader::CheckUnique(const JsonField& aObject,
                                 Locations& aLocations,
                                 const std::string& aKey,
                                 std::string_view aWhat)
{
  const auto [first, isNew] = aLocations.emplace(aKey, LocationOf(aObject));
  if (!isNew) {
    aObject.ReportFault(
      fmt::format("{} is already at {}", aWhat, FormatLocation(first->second)));
  }
}

void
ConfigurationReader::CheckReferences()
{
  std::vector<std::string_view> names;
  for (const auto& [name, location] : services_) {
    names.push_back(name);
  }
  // Sorted, so that the choice between equally close suggestions does not
  // depend on the order of the hash table.
  std::sort(names.begin(), names.end());
  // Suggestions are expensive to compute, and one wrong name often occurs in
  // many contracts.
  std::unordered_map<std::string_view, std::string> messages;
  for (const Reference& reference : references_) {
    const bool isRoute = reference.serviceIndex < 0;
    const std::string& name =
      isRoute
        ? content_.routes[reference.index].service
        : content_.contracts[reference.index].services[reference.serviceIndex];
    if (services_.contains(name)) {
      continue;
    }
    std::string& message = messages[name];
    if (message.empty()) {
      message = fmt::format("names the unknown service \"{}\"{}",
                            EscapeForDisplay(name),
                            SuggestName(name, names));
    }
    findings_.Add({ sources_[reference.location.source],
                    reference.location.line,
                    isRoute
                      ? fmt::format("routes[{}].service", reference.indexInFile)
                      : fmt::format("contracts[{}].services[{}]",
                                    reference.indexInFile,
                                    reference.serviceIndex),
                    message });
  }
}

ConfigurationReader::Location
ConfigurationReader::LocationOf(const JsonField& aField) const
{
  return { static_cast<int>(sources_.size()) - 1, aField.Line() };
}

std::string
ConfigurationReader::FormatLocation(const Location& aLocation) const
{
  return fmt::format("{}:{}", sources_[aLocation.source], aLocation.line);
}

} // namespace filbertbeam
