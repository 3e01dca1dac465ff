#include "configuration/ConfigurationReader.h"

#include "base/Digest.h"
#include "configuration/JsonPositions.h"
#include "configuration/Suggestion.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <unordered_set>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::size_t kSha256Digits = 64;

std::string_view
TypeName(QJsonValue::Type aType)
{
  switch (aType) {
    case QJsonValue::Bool:
      return "true or false";
    case QJsonValue::Double:
      return "a number";
    case QJsonValue::String:
      return "a string";
    case QJsonValue::Array:
      return "a list";
    case QJsonValue::Object:
      return "an object";
    case QJsonValue::Null:
    case QJsonValue::Undefined:
      break;
  }
  return "null";
}

bool
IsLetterOrDigit(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

// Names stand in keys of the store, header fields and command lines.
bool
IsName(std::string_view aText)
{
  return !aText.empty() &&
         aText.size() <= ConfigurationReader::kMaxNameLength &&
         IsLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return IsLetterOrDigit(aCharacter) || aCharacter == '.' ||
                  aCharacter == '_' || aCharacter == '-' || aCharacter == '@';
         });
}

// A method is a token of HTTP (RFC 9110).
bool
IsToken(std::string_view aText)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [&](char aCharacter) {
           return IsLetterOrDigit(aCharacter) ||
                  kSymbols.find(aCharacter) != std::string_view::npos;
         });
}

bool
IsPathPrefix(std::string_view aText)
{
  return aText.starts_with('/') &&
         aText.size() <= ConfigurationReader::kMaxPathPrefixLength &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~' && aCharacter != '?' &&
                  aCharacter != '#';
         });
}

// A name or an IPv6 address in brackets, without port.
bool
IsRouteHost(std::string_view aText)
{
  if (aText.starts_with('[') && aText.ends_with(']')) {
    const std::string inside(aText.substr(1, aText.size() - 2));
    QHostAddress address;
    return address.setAddress(QString::fromStdString(inside)) &&
           address.protocol() == QAbstractSocket::IPv6Protocol;
  }
  return aText.size() <= 253 &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return IsLetterOrDigit(aCharacter) || aCharacter == '.' ||
                  aCharacter == '-' || aCharacter == '_';
         });
}

// QHostAddress also takes short forms such as "10.1" and scoped addresses,
// which hosts could read differently; a canonical address equals its own text.
bool
IsAddressOfOneServer(const std::string& aText)
{
  QHostAddress address;
  if (!address.setAddress(QString::fromStdString(aText)) ||
      !address.scopeId().isEmpty() || address.isMulticast() ||
      address.isBroadcast() || address == QHostAddress(QHostAddress::AnyIPv4) ||
      address == QHostAddress(QHostAddress::AnyIPv6)) {
    return false;
  }
  return address.protocol() == QAbstractSocket::IPv6Protocol ||
         address.toString().toStdString() == aText;
}

void
MakeLowerCase(std::string& aText)
{
  for (char& character : aText) {
    if (character >= 'A' && character <= 'Z') {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
}

// Field names come from the input; a terminal must not interpret them.
std::string
Printable(std::string_view aText)
{
  constexpr std::size_t kMaxShown = 64;
  std::string text;
  for (const char character : aText.substr(0, kMaxShown)) {
    const auto code = static_cast<unsigned char>(character);
    if (code < ' ' || code >= 0x7f) {
      text += fmt::format("\\x{:02x}", code);
    } else {
      text += character;
    }
  }
  return aText.size() > kMaxShown ? text + "..." : text;
}

} // namespace

// One value of a file with its place.
class ConfigurationReader::Scope
{
public:
  Scope(ConfigurationReader& aReader,
        int aSource,
        const JsonPositions& aPositions,
        const JsonPositions::Node& aNode,
        QJsonValue aValue)
    : reader_(aReader)
    , source_(aSource)
    , positions_(aPositions)
    , node_(aNode)
    , value_(std::move(aValue))
  {
  }

  Place At() const { return { source_, node_.line }; }
  int Index() const { return index_; }

  void Fault(std::string aMessage) const
  {
    Fault(node_.line, Path(), std::move(aMessage));
  }

  // True for an object; reports fields that are unknown or given twice.
  bool IsObject(std::initializer_list<std::string_view> aKnownFields) const
  {
    if (!HasType(QJsonValue::Object)) {
      return false;
    }
    // A set only where a linear search could be made slow by the input.
    constexpr std::size_t kFewFields = 16;
    const bool hasFew = node_.childCount <= kFewFields;
    std::unordered_set<std::string_view> seen;
    for (std::size_t i = 0; i < node_.childCount; ++i) {
      const JsonPositions::Node& child = positions_.Child(node_, i);
      const bool isRepeated =
        hasFew ? IsNamedBefore(i) : !seen.insert(child.name).second;
      const bool isKnown =
        std::find(aKnownFields.begin(), aKnownFields.end(), child.name) !=
        aKnownFields.end();
      if (isKnown && !isRepeated) {
        continue;
      }
      Fault(child.line,
            Join(Path(), Printable(child.name)),
            isRepeated ? "is given twice"
                       : "is not a known field" +
                           SuggestName(child.name, std::vector(aKnownFields)));
    }
    return true;
  }

  // The field of an object; reports one that is missing.
  std::optional<Scope> Required(std::string_view aName) const
  {
    std::optional<Scope> field = Optional(aName);
    if (!field) {
      Fault(node_.line, Join(Path(), aName), "is missing");
    }
    return field;
  }

  std::optional<Scope> Optional(std::string_view aName) const
  {
    // QJsonObject keeps the last of equal fields, so the search goes backwards.
    for (std::size_t i = node_.childCount; i-- > 0;) {
      const JsonPositions::Node& child = positions_.Child(node_, i);
      if (child.name == aName) {
        Scope scope(reader_,
                    source_,
                    positions_,
                    child,
                    object_.value(QLatin1StringView(
                      aName.data(), static_cast<qsizetype>(aName.size()))));
        scope.parent_ = this;
        return scope;
      }
    }
    return std::nullopt;
  }

  bool IsEmptyList() const
  {
    return value_.type() == QJsonValue::Array && node_.childCount == 0;
  }

  template<typename Visit>
  void ForEachItem(Visit aVisit) const
  {
    if (!HasType(QJsonValue::Array)) {
      return;
    }
    const QJsonArray items = value_.toArray();
    for (std::size_t i = 0; i < node_.childCount; ++i) {
      Scope item(reader_,
                 source_,
                 positions_,
                 positions_.Child(node_, i),
                 items.at(static_cast<qsizetype>(i)));
      item.parent_ = this;
      item.index_ = static_cast<int>(i);
      aVisit(item);
    }
  }

  // The typed reads report what is wrong and then return nothing.
  std::optional<std::string> String() const
  {
    if (!HasType(QJsonValue::String)) {
      return std::nullopt;
    }
    return value_.toString().toStdString();
  }

  std::optional<std::string> Name() const
  {
    std::optional<std::string> text = String();
    if (text && !IsName(*text)) {
      Fault(fmt::format("must be 1 to {} letters, digits, '.', '_', '-' or "
                        "'@', and start with a letter or digit",
                        kMaxNameLength));
      return std::nullopt;
    }
    return text;
  }

  std::optional<bool> Boolean() const
  {
    if (!HasType(QJsonValue::Bool)) {
      return std::nullopt;
    }
    return value_.toBool();
  }

  std::optional<double> Number() const
  {
    if (!HasType(QJsonValue::Double)) {
      return std::nullopt;
    }
    return value_.toDouble();
  }

  std::optional<int> Integer(int aLeast, int aMost) const
  {
    const std::optional<double> number = Number();
    if (!number) {
      return std::nullopt;
    }
    if (!(*number >= aLeast && *number <= aMost) ||
        *number != std::floor(*number)) {
      Fault(fmt::format("must be a whole number from {} to {}", aLeast, aMost));
      return std::nullopt;
    }
    return static_cast<int>(*number);
  }

private:
  static std::string Join(std::string aPath, std::string_view aName)
  {
    if (!aPath.empty()) {
      aPath += '.';
    }
    return aPath += aName;
  }

  bool IsNamedBefore(std::size_t aIndex) const
  {
    for (std::size_t i = 0; i < aIndex; ++i) {
      if (positions_.Child(node_, i).name ==
          positions_.Child(node_, aIndex).name) {
        return true;
      }
    }
    return false;
  }

  std::string Path() const
  {
    if (!parent_) {
      return {};
    }
    if (index_ >= 0) {
      return fmt::format("{}[{}]", parent_->Path(), index_);
    }
    return Join(parent_->Path(), node_.name);
  }

  bool HasType(QJsonValue::Type aType) const
  {
    if (value_.type() == aType) {
      return true;
    }
    Fault(fmt::format(
      "must be {}, not {}", TypeName(aType), TypeName(value_.type())));
    return false;
  }

  void Fault(int aLine, std::string aPath, std::string aMessage) const
  {
    reader_.findings_.Add({ reader_.sources_[source_],
                            aLine,
                            std::move(aPath),
                            std::move(aMessage) });
  }

  ConfigurationReader& reader_;
  int source_;
  const JsonPositions& positions_;
  const JsonPositions::Node& node_;
  QJsonValue value_;
  QJsonObject object_ = value_.toObject();
  const Scope* parent_ = nullptr;
  int index_ = -1;
};

void
ConfigurationReader::Add(std::string_view aSource, std::string_view aText)
{
  const int source = static_cast<int>(sources_.size());
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
  const Scope root(*this,
                   source,
                   *positions,
                   positions->Root(),
                   document.isObject() ? QJsonValue(document.object())
                                       : QJsonValue(document.array()));
  if (!root.IsObject({ "services", "routes", "contracts" })) {
    return;
  }
  if (const auto services = root.Optional("services")) {
    services->ForEachItem([this](const Scope& aItem) { ReadService(aItem); });
  }
  if (const auto routes = root.Optional("routes")) {
    routes->ForEachItem([this](const Scope& aItem) { ReadRoute(aItem); });
  }
  if (const auto contracts = root.Optional("contracts")) {
    contracts->ForEachItem([this](const Scope& aItem) { ReadContract(aItem); });
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
ConfigurationReader::ReadService(const Scope& aScope)
{
  if (!aScope.IsObject({ "name",
                         "floor",
                         "prefer",
                         "shed_status",
                         "availability_objective",
                         "backend_servers" })) {
    return;
  }
  Service service;
  if (const auto field = aScope.Required("name")) {
    if (auto name = field->Name()) {
      CheckUnique(*field, services_, *name, "the service");
      service.name = std::move(*name);
    }
  }
  if (const auto field = aScope.Optional("floor")) {
    const std::optional<double> floor = field->Number();
    if (floor && !(*floor >= kMinFloor && *floor <= 1)) {
      field->Fault(fmt::format("must be from {} to 1", kMinFloor));
    }
    service.floor = floor.value_or(service.floor);
  }
  if (const auto field = aScope.Optional("prefer")) {
    const std::optional<std::string> preference = field->String();
    if (preference == "precision") {
      service.prefer = DetectionPreference::Precision;
    } else if (preference && preference != "detection") {
      field->Fault("must be \"detection\" or \"precision\"");
    }
  }
  if (const auto field = aScope.Optional("shed_status")) {
    service.shedStatus = field->Integer(400, 599);
  }
  if (const auto field = aScope.Optional("availability_objective")) {
    const std::optional<double> objective = field->Number();
    // An objective of 1 leaves no error budget, so no burn rate exists.
    if (objective && !(*objective > 0 && *objective < 1)) {
      field->Fault("must be greater than 0 and less than 1");
    }
    service.availabilityObjective =
      objective.value_or(service.availabilityObjective);
  }
  if (const auto field = aScope.Required("backend_servers")) {
    Places names;
    Places endpoints;
    field->ForEachItem([&](const Scope& aItem) {
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
        // Two entries for one server would count its slots twice.
        const std::string endpoint =
          fmt::format("{} port {}", added.address, added.port);
        CheckUnique(aItem, endpoints, endpoint, "the address " + endpoint);
      }
    });
    if (field->IsEmptyList()) {
      field->Fault("must list at least one backend server");
    }
  }
  content_.services.push_back(std::move(service));
}

void
ConfigurationReader::ReadBackendServer(const Scope& aScope, Service& aService)
{
  if (!aScope.IsObject({ "name",
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
    if (const auto field = aScope.Required(aField)) {
      aTarget = field->Name().value_or("");
    }
  };
  readName("name", backendServer.name);
  if (const auto field = aScope.Required("address")) {
    if (auto address = field->String()) {
      if (IsAddressOfOneServer(*address)) {
        backendServer.address = std::move(*address);
      } else {
        field->Fault("must be the IP address of one server, for example "
                     "\"10.1.0.7\" or \"fd00::7\"");
      }
    }
  }
  if (const auto field = aScope.Required("port")) {
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
      aScope.Required("domain")->Fault(
        fmt::format("is in region {} here and in region {} before",
                    backendServer.region,
                    region));
    }
  }
  if (const auto field = aScope.Optional("slots")) {
    backendServer.slots =
      field->Integer(1, kMaxSlots).value_or(backendServer.slots);
  }
  const auto connections = aScope.Optional("connections");
  if (connections) {
    backendServer.connections = connections->Integer(1, kMaxConnections)
                                  .value_or(backendServer.connections);
  }
  // Every running request takes a connection.
  if (backendServer.connections < backendServer.slots) {
    const auto field = connections ? connections : aScope.Optional("slots");
    field->Fault(fmt::format("{} connections cannot serve {} slots",
                             backendServer.connections,
                             backendServer.slots));
  }
  if (const auto field = aScope.Optional("leaving")) {
    backendServer.isLeaving = field->Boolean().value_or(false);
  }
  aService.backendServers.push_back(std::move(backendServer));
}

void
ConfigurationReader::ReadRoute(const Scope& aScope)
{
  if (!aScope.IsObject(
        { "host", "path_prefix", "service", "non_idempotent_methods" })) {
    return;
  }
  Route route;
  const int index = static_cast<int>(content_.routes.size());
  bool isHostValid = true;
  if (const auto field = aScope.Optional("host")) {
    route.host = field->String().value_or("");
    MakeLowerCase(route.host);
    isHostValid = IsRouteHost(route.host);
    if (!isHostValid) {
      field->Fault("must be a host name without port, or empty for every host");
    }
  }
  if (const auto field = aScope.Required("path_prefix")) {
    if (auto prefix = field->String()) {
      if (!IsPathPrefix(*prefix)) {
        field->Fault(fmt::format("must start with '/', have no space, '?' or "
                                 "'#', and at most {} characters",
                                 kMaxPathPrefixLength));
      } else if (isHostValid) {
        CheckUnique(
          *field, routes_, route.host + ' ' + *prefix, "the same route");
      }
      route.pathPrefix = std::move(*prefix);
    }
  }
  if (const auto field = aScope.Required("service")) {
    if (auto service = field->String()) {
      route.service = std::move(*service);
      references_.push_back({ field->At(), aScope.Index(), index, -1 });
    }
  }
  if (const auto field = aScope.Optional("non_idempotent_methods")) {
    field->ForEachItem([&](const Scope& aItem) {
      auto method = aItem.String();
      if (!method) {
        return;
      }
      auto& methods = route.nonIdempotentMethods;
      if (!IsToken(*method)) {
        aItem.Fault("must be a method of HTTP, for example \"PUT\"");
      } else if (std::find(methods.begin(), methods.end(), *method) !=
                 methods.end()) {
        aItem.Fault("is listed twice");
      }
      methods.push_back(std::move(*method));
    });
  }
  content_.routes.push_back(std::move(route));
}

void
ConfigurationReader::ReadContract(const Scope& aScope)
{
  if (!aScope.IsObject(
        { "customer", "key_sha256", "services", "requests_per_second" })) {
    return;
  }
  Contract contract;
  const int index = static_cast<int>(content_.contracts.size());
  if (const auto field = aScope.Required("customer")) {
    if (auto customer = field->Name()) {
      CheckUnique(*field, customers_, *customer, "the contract");
      contract.customer = std::move(*customer);
    }
  }
  if (const auto field = aScope.Required("key_sha256")) {
    ReadKeys(*field, contract);
  }
  if (const auto field = aScope.Required("services")) {
    std::unordered_set<std::string> seen;
    field->ForEachItem([&](const Scope& aItem) {
      auto service = aItem.String();
      if (!service) {
        return;
      }
      if (!seen.insert(*service).second) {
        aItem.Fault("is listed twice");
      }
      references_.push_back({ aItem.At(),
                              aScope.Index(),
                              index,
                              static_cast<int>(contract.services.size()) });
      contract.services.push_back(std::move(*service));
    });
    if (field->IsEmptyList()) {
      field->Fault("must list at least one service");
    }
  }
  if (const auto field = aScope.Required("requests_per_second")) {
    if (const auto rate = field->Number()) {
      if (!(*rate > 0)) {
        field->Fault("must be greater than 0");
      } else if (*rate > kMaxRequestsPerSecond) {
        field->Fault(fmt::format("must be at most {}", kMaxRequestsPerSecond));
      }
      contract.requestsPerSecond = *rate;
    }
  }
  content_.contracts.push_back(std::move(contract));
}

void
ConfigurationReader::ReadKeys(const Scope& aScope, Contract& aContract)
{
  aScope.ForEachItem([&](const Scope& aItem) {
    auto key = aItem.String();
    if (!key) {
      return;
    }
    MakeLowerCase(*key);
    // The message does not repeat the text, which may be the API key itself.
    if (key->size() != kSha256Digits ||
        key->find_first_not_of("0123456789abcdef") != std::string::npos) {
      aItem.Fault("must be the SHA-256 of an API key, 64 hexadecimal digits; "
                  "\"filbertbeam hash-key\" prints it");
      return;
    }
    static const std::string kHashOfNothing = Sha256Hex({});
    if (*key == kHashOfNothing) {
      aItem.Fault("is the SHA-256 of an empty key");
      return;
    }
    CheckUnique(aItem, keys_, *key, "the same key");
    aContract.keySha256.push_back(std::move(*key));
  });
  if (aScope.IsEmptyList()) {
    aScope.Fault("must list at least one key");
  }
}

void
ConfigurationReader::CheckUnique(const Scope& aScope,
                                 Places& aPlaces,
                                 const std::string& aKey,
                                 std::string_view aWhat)
{
  const auto [first, isNew] = aPlaces.emplace(aKey, aScope.At());
  if (!isNew) {
    aScope.Fault(
      fmt::format("{} is already at {}", aWhat, FormatPlace(first->second)));
  }
}

void
ConfigurationReader::CheckReferences()
{
  std::vector<std::string_view> names;
  for (const auto& [name, place] : services_) {
    names.push_back(name);
  }
  // The order of a hash table must not decide between equal suggestions.
  std::sort(names.begin(), names.end());
  // Suggestions are costly, and one wrong name often stands in many contracts.
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
                            Printable(name),
                            SuggestName(name, names));
    }
    findings_.Add({ sources_[reference.place.source],
                    reference.place.line,
                    isRoute
                      ? fmt::format("routes[{}].service", reference.indexInFile)
                      : fmt::format("contracts[{}].services[{}]",
                                    reference.indexInFile,
                                    reference.serviceIndex),
                    message });
  }
}

std::string
ConfigurationReader::FormatPlace(const Place& aPlace) const
{
  return fmt::format("{}:{}", sources_[aPlace.source], aPlace.line);
}

} // namespace filbertbeam
