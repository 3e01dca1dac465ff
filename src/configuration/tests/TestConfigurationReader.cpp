#include "base/SeededRandom.h"
#include "configuration/ConfigurationReader.h"
#include "configuration/ConfigurationWriter.h"
#include "configuration/JsonPositions.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace filbertbeam;

namespace {

const std::string kKeyA(64, 'a');
const std::string kKeyB(64, 'b');

// The parts of a valid file with one service, one route and one contract; tests
// change one part at a time.
struct Parts
{
  std::string service = R"("floor": 0.8, "prefer": "precision")";
  std::string backendServer =
    R"("name": "p1", "address": "10.0.0.1", "port": 80,
  "region": "tt", "domain": "piarco", "slots": 4)";
  std::string route = R"("path_prefix": "/permits", "service": "permits")";
  std::string contract = R"("customer": "acme", "key_sha256": [")" + kKeyA +
                         R"("], "services": ["permits"],
  "requests_per_second": 5)";
  std::string more;
};

// The service is on line 3, the backend server on 5, the route on 8 and the
// contract on 10.
std::string
MakeFile(const Parts& aParts)
{
  return "{\n\"services\": [\n{\"name\": \"permits\", " + aParts.service +
         ",\n\"backend_servers\": [\n{" + aParts.backendServer +
         "}]}],\n\"routes\": [\n{" + aParts.route + "}],\n\"contracts\": [\n{" +
         aParts.contract + "}]" + aParts.more + "}\n";
}

std::string
FindingsOf(const std::string& aText)
{
  ConfigurationReader reader;
  reader.Add("f", aText);
  const bool isAccepted = reader.Finish().has_value();
  BOOST_TEST(isAccepted == reader.Faults().IsEmpty());
  return reader.Faults().Format();
}

std::string
RandomText(Random& aRandom)
{
  static const std::string kAlphabet =
    "{}[]\",:\\ntruefalse0123456789.-+eE \n\t\xff\xc3\x28/u00";
  std::string text;
  const std::uint64_t length = aRandom.Below(200);
  for (std::uint64_t i = 0; i < length; ++i) {
    text += aRandom.Below(4) == 0 ? static_cast<char>(aRandom.Below(256))
                                  : kAlphabet[aRandom.Below(kAlphabet.size())];
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationFiles)

BOOST_AUTO_TEST_SUITE(Reading)

BOOST_AUTO_TEST_CASE(AValidFileGivesItsContentAndDefaults)
{
  ConfigurationReader reader;
  reader.Add("f", MakeFile({}));
  const auto content = reader.Finish();
  BOOST_TEST_REQUIRE(content.has_value(), reader.Faults().Format());
  const Service& service = content->services.at(0);
  BOOST_TEST(service.name == "permits");
  BOOST_TEST(service.floor == 0.8);
  BOOST_TEST((service.prefer == DetectionPreference::Precision));
  BOOST_TEST(!service.shedStatus.has_value());
  BOOST_TEST(service.availabilityObjective == 0.999);
  const BackendServer& backendServer = service.backendServers.at(0);
  BOOST_TEST(backendServer.address == "10.0.0.1");
  BOOST_TEST(backendServer.port == 80);
  BOOST_TEST(backendServer.slots == 4);
  BOOST_TEST(backendServer.connections == 400);
  BOOST_TEST(!backendServer.isLeaving);
  BOOST_TEST(content->routes.at(0).pathPrefix == "/permits");
  BOOST_TEST(content->contracts.at(0).keySha256.at(0) == kKeyA);
  BOOST_TEST(content->contracts.at(0).requestsPerSecond == 5);
}

struct Fault
{
  std::string Parts::*part;
  // Replaces the first occurrence of `from`, or is appended if `from` is empty.
  std::string from;
  std::string to;
  std::string finding;
};

// Guards against a fault that is accepted, or that an operator cannot find
// because it is reported with the wrong line or field.
BOOST_AUTO_TEST_CASE(EveryFaultIsReportedWithItsLineAndField)
{
  const std::string server = "services[0].backend_servers[0]";
  const std::string name =
    "must be 1 to 128 letters, digits, '.', '_', '-' or '@', and start with a "
    "letter or digit";
  const std::string address = "must be the IP address of one server, for "
                              "example \"10.1.0.7\" or \"fd00::7\"";
  const std::string key =
    "must be the SHA-256 of an API key, 64 hexadecimal digits; \"filbertbeam "
    "hash-key\" prints it";
  const Fault faults[] = {
    { &Parts::service,
      "floor",
      "flor",
      "f:3: services[0].flor: is not a known field; did you mean \"floor\"?" },
    { &Parts::service,
      "floor",
      "folor",
      "f:3: services[0].folor: is not a known field; did you mean "
      "\"floor\"?" },
    { &Parts::service,
      "floor",
      "zzzzzzz",
      "f:3: services[0].zzzzzzz: is not a known field" },
    { &Parts::service,
      "floor",
      "fl\\u006for\": 0.9, \"floor",
      "f:3: services[0].floor: is given twice" },
    { &Parts::service,
      "0.8",
      "\"0.8\"",
      "f:3: services[0].floor: must be a number, not a string" },
    { &Parts::service,
      "0.8",
      "0.49",
      "f:3: services[0].floor: must be from 0.5 to 1" },
    { &Parts::service,
      "0.8",
      "1.01",
      "f:3: services[0].floor: must be from 0.5 to 1" },
    { &Parts::service,
      "precision",
      "both",
      "f:3: services[0].prefer: must be \"detection\" or \"precision\"" },
    { &Parts::service,
      "",
      ", \"shed_status\": 200",
      "f:3: services[0].shed_status: must be a whole number from 400 to 599" },
    { &Parts::service,
      "",
      ", \"shed_status\": 429.5",
      "f:3: services[0].shed_status: must be a whole number from 400 to 599" },
    { &Parts::service,
      "",
      ",\n\"availability_objective\": 1",
      "f:4: services[0].availability_objective: must be greater than 0 and "
      "less than 1" },
    { &Parts::backendServer,
      "\"p1\"",
      "\"p/1\"",
      "f:5: " + server + ".name: " + name },
    { &Parts::backendServer,
      "\"p1\"",
      "\"\"",
      "f:5: " + server + ".name: " + name },
    { &Parts::backendServer,
      "\"name\": \"p1\",",
      "",
      "f:5: " + server + ".name: is missing" },
    { &Parts::backendServer,
      "10.0.0.1",
      "10.0.0.256",
      "f:5: " + server + ".address: " + address },
    { &Parts::backendServer,
      "10.0.0.1",
      "10.1",
      "f:5: " + server + ".address: " + address },
    { &Parts::backendServer,
      "10.0.0.1",
      "backend.example",
      "f:5: " + server + ".address: " + address },
    { &Parts::backendServer,
      "10.0.0.1",
      "0.0.0.0",
      "f:5: " + server + ".address: " + address },
    { &Parts::backendServer,
      "10.0.0.1",
      "fe80::1%eth0",
      "f:5: " + server + ".address: " + address },
    { &Parts::backendServer,
      "80",
      "0",
      "f:5: " + server + ".port: must be a whole number from 1 to 65535" },
    { &Parts::backendServer,
      "80",
      "65536",
      "f:5: " + server + ".port: must be a whole number from 1 to 65535" },
    { &Parts::backendServer,
      "80",
      "1e999",
      "f:5: is not valid JSON: illegal number" },
    { &Parts::backendServer,
      "\"piarco\"",
      "null",
      "f:6: " + server + ".domain: must be a string, not null" },
    { &Parts::backendServer,
      "\"slots\": 4",
      "\"slots\": 0",
      "f:6: " + server + ".slots: must be a whole number from 1 to 10000" },
    { &Parts::backendServer,
      "\"slots\": 4",
      "\"slots\": 401",
      "f:6: " + server + ".slots: 400 connections cannot serve 401 slots" },
    { &Parts::backendServer,
      "\"slots\": 4",
      "\"slots\": 4, \"connections\": 3",
      "f:6: " + server + ".connections: 3 connections cannot serve 4 slots" },
    { &Parts::backendServer,
      "",
      ", \"leaving\": 1",
      "f:6: " + server + ".leaving: must be true or false, not a number" },
    { &Parts::backendServer,
      "",
      "},\n{\"name\": \"p1\", \"address\": \"10.0.0.2\", \"port\": 1, "
      "\"region\": \"tt\", \"domain\": \"piarco\"",
      "f:7: services[0].backend_servers[1]: the backend server p1 is already "
      "at f:5" },
    { &Parts::backendServer,
      "",
      "},\n{\"name\": \"p2\", \"address\": \"10.0.0.1\", \"port\": 80, "
      "\"region\": \"tt\", \"domain\": \"piarco\"",
      "f:7: services[0].backend_servers[1]: the address 10.0.0.1 port 80 is "
      "already at f:5" },
    { &Parts::backendServer,
      "",
      "},\n{\"name\": \"p2\", \"address\": \"10.0.0.2\", \"port\": 80, "
      "\"region\": \"th\", \"domain\": \"piarco\"",
      "f:7: services[0].backend_servers[1].domain: is in region th here and in "
      "region tt before" },
    { &Parts::backendServer,
      "",
      "}, 7, {",
      "f:6: services[0].backend_servers[1]: must be an object, not a "
      "number\nf:6: services[0].backend_servers[2].name: is missing\nf:6: "
      "services[0].backend_servers[2].address: is missing\nf:6: "
      "services[0].backend_servers[2].port: is missing\nf:6: "
      "services[0].backend_servers[2].region: is missing\nf:6: "
      "services[0].backend_servers[2].domain: is missing" },
    { &Parts::route,
      "/permits",
      "permits",
      "f:8: routes[0].path_prefix: must start with '/', have no space, '?' or "
      "'#', and at most 1024 characters" },
    { &Parts::route,
      "/permits",
      "/a?b",
      "f:8: routes[0].path_prefix: must start with '/', have no space, '?' or "
      "'#', and at most 1024 characters" },
    { &Parts::route,
      "\"permits\"",
      "\"permit\"",
      "f:8: routes[0].service: names the unknown service \"permit\"; did you "
      "mean \"permits\"?" },
    { &Parts::route,
      "",
      ", \"host\": \"a:80\"",
      "f:8: routes[0].host: must be a host name without port, or empty for "
      "every host" },
    { &Parts::route,
      "",
      ", \"non_idempotent_methods\": [\"PUT\", \"PUT\", \"A B\"]",
      "f:8: routes[0].non_idempotent_methods[1]: is listed twice\nf:8: "
      "routes[0].non_idempotent_methods[2]: must be a method of HTTP, for "
      "example \"PUT\"" },
    { &Parts::route,
      "",
      "},\n{\"path_prefix\": \"/permits\", \"service\": \"permits\"",
      "f:9: routes[1].path_prefix: the same route is already at f:8" },
    { &Parts::contract,
      kKeyA,
      "secret",
      "f:10: contracts[0].key_sha256[0]: " + key },
    { &Parts::contract,
      kKeyA,
      std::string(64, 'g'),
      "f:10: contracts[0].key_sha256[0]: " + key },
    { &Parts::contract,
      kKeyA,
      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
      "f:10: contracts[0].key_sha256[0]: is the SHA-256 of an empty key" },
    { &Parts::contract,
      ": 5",
      ": 0",
      "f:11: contracts[0].requests_per_second: must be greater than 0" },
    { &Parts::contract,
      ": 5",
      ": -1",
      "f:11: contracts[0].requests_per_second: must be greater than 0" },
    { &Parts::contract,
      ": 5",
      ": 1000001",
      "f:11: contracts[0].requests_per_second: must be at most 1000000" },
    { &Parts::contract,
      "[\"permits\"]",
      "[]",
      "f:10: contracts[0].services: must list at least one service" },
    { &Parts::contract,
      "[\"permits\"]",
      "[\"permits\",\n\"permits\"]",
      "f:11: contracts[0].services[1]: is listed twice" },
    { &Parts::contract,
      "\"permits\"",
      "\"permits\", \"library\"",
      "f:10: contracts[0].services[1]: names the unknown service \"library\"" },
    { &Parts::contract,
      "",
      "},\n{\"customer\": \"acme\", \"key_sha256\": [\"" + kKeyB +
        "\"], \"services\": [\"permits\"], \"requests_per_second\": 1",
      "f:12: contracts[1].customer: the contract is already at f:10" },
    { &Parts::contract,
      "",
      "},\n{\"customer\": \"bolt\", \"key_sha256\": [\"" +
        std::string(64, 'A') +
        "\"], \"services\": [\"permits\"], \"requests_per_second\": 1",
      "f:12: contracts[1].key_sha256[0]: the same key is already at f:10" },
    { &Parts::more,
      "",
      ",\n\"contract\": []",
      "f:12: contract: is not a known field; did you mean \"contracts\"?" },
    { &Parts::more,
      "",
      ",\n\"a\\u001b[31m\": 1",
      "f:12: a\\x1b[31m: is not a known field" },
    { &Parts::more, "", ",\n\"routes\": []", "f:12: routes: is given twice" },
  };
  for (const Fault& fault : faults) {
    Parts parts;
    std::string& part = parts.*fault.part;
    if (fault.from.empty()) {
      part += fault.to;
    } else {
      const std::size_t at = part.find(fault.from);
      BOOST_TEST_REQUIRE(at != std::string::npos);
      part.replace(at, fault.from.size(), fault.to);
    }
    BOOST_TEST_CONTEXT(MakeFile(parts))
    {
      BOOST_TEST(FindingsOf(MakeFile(parts)) == fault.finding + "\n");
    }
  }
}

// Guards against findings that stop at the first fault, so that an operator has
// to run the tool once per fault.
BOOST_AUTO_TEST_CASE(AllFaultsOfAllFilesAreReportedTogether)
{
  ConfigurationReader reader;
  Parts faulty;
  faulty.service = "\"floor\": 7";
  faulty.contract = "\"customer\": \"acme\"";
  reader.Add("a.json", MakeFile(faulty));
  reader.Add("b.json",
             "{\"services\": 1, \"routes\":\n[{\"path_prefix\": "
             "\"/permits\", \"service\": \"x\"}]}");
  reader.Add("c.json", "{\n\"services\": [\n}");
  reader.Add("d.json", "[]");
  BOOST_TEST(!reader.Finish().has_value());
  BOOST_TEST(
    reader.Faults().Format() ==
    "a.json:3: services[0].floor: must be from 0.5 to 1\n"
    "a.json:10: contracts[0].key_sha256: is missing\n"
    "a.json:10: contracts[0].services: is missing\n"
    "a.json:10: contracts[0].requests_per_second: is missing\n"
    "b.json:1: services: must be a list, not a number\n"
    "b.json:2: routes[0].path_prefix: the same route is already at a.json:8\n"
    "c.json:3: is not valid JSON: object is missing after a comma\n"
    "d.json:1: must be an object, not a list\n"
    "b.json:2: routes[0].service: names the unknown service \"x\"\n");
}

BOOST_AUTO_TEST_CASE(SeveralFilesAreJoined)
{
  ConfigurationReader reader;
  Parts parts;
  reader.Add("a", MakeFile(parts));
  reader.Add("b",
             "{\"routes\": [{\"host\": \"API.example\", \"path_prefix\": "
             "\"/\", \"service\": \"permits\"}]}");
  const auto content = reader.Finish();
  BOOST_TEST_REQUIRE(content.has_value(), reader.Faults().Format());
  BOOST_TEST(content->routes.size() == 2U);
  BOOST_TEST(content->routes[1].host == "api.example");
}

// Guards against an API key that is copied to a terminal log or a ticket.
BOOST_AUTO_TEST_CASE(AnApiKeyPastedInPlaceOfItsHashIsNotPrinted)
{
  Parts parts;
  parts.contract.replace(parts.contract.find(kKeyA), kKeyA.size(), "s3cr3t");
  BOOST_TEST(FindingsOf(MakeFile(parts)).find("s3cr3t") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ArbitraryInput)

// Guards against a crash or a hang of the tool and of every host that joins
// parts. Changing bytes of a valid file exercises more of the code than random
// text does.
BOOST_AUTO_TEST_CASE(GivesFindingsOrContentWithoutCrashing)
{
  SeededRandom random(20261204);
  const std::string valid = MakeFile({});
  int accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string text = valid;
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t j = 0; j < changes && !text.empty(); ++j) {
      const std::size_t at = random.Below(text.size());
      switch (random.Below(5)) {
        case 0:
          // Often leaves the file valid, so that parsing continues after the
          // change.
          text[at] = static_cast<char>('0' + random.Below(10));
          break;
        case 1:
          text[at] = static_cast<char>(random.Below(256));
          break;
        case 2:
          text.erase(at, 1 + random.Below(20));
          break;
        case 3:
          text.insert(at, RandomText(random));
          break;
        default:
          text.insert(at, text.substr(random.Below(text.size()), 30));
      }
    }
    ConfigurationReader reader;
    reader.Add("f", i % 10 == 0 ? RandomText(random) : text);
    const auto content = reader.Finish();
    BOOST_TEST_REQUIRE(content.has_value() == reader.Faults().IsEmpty());
    if (content) {
      ++accepted;
      ConfigurationReader again;
      again.Add("again", ConfigurationWriter::Write(*content));
      BOOST_TEST_REQUIRE(again.Finish().has_value(), again.Faults().Format());
    }
  }
  // The test is meaningful only if files are both accepted and rejected.
  BOOST_TEST(accepted > 100);
  BOOST_TEST(accepted < 19'000);
}

// Guards against a stack overflow and against quadratic time.
BOOST_AUTO_TEST_CASE(DeepOrWideInputIsRejected)
{
  BOOST_TEST(!FindingsOf(std::string(1'000'000, '[')).empty());
  BOOST_TEST(
    !FindingsOf(std::string(1'000, '[') + std::string(1'000, ']')).empty());
  std::string wide = "{";
  for (int i = 0; i < 100'000; ++i) {
    wide += fmt::format("\"x{}\":1,", i);
  }
  wide.back() = '}';
  BOOST_TEST(!FindingsOf(wide).empty());
}

BOOST_AUTO_TEST_CASE(TruncatedTextsHaveNoPositions)
{
  const std::string valid = MakeFile({});
  for (std::size_t length = 0; length + 2 < valid.size(); ++length) {
    BOOST_TEST(!JsonPositions::Create(valid.substr(0, length)).has_value());
  }
  BOOST_TEST(JsonPositions::Create(valid).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Writing)

Configuration::Content
MakeFullContent()
{
  Configuration::Content content;
  for (const char* name : { "permits", "library" }) {
    Service service;
    service.name = name;
    service.floor = 1.0 / 1.7;
    service.prefer = DetectionPreference::Precision;
    service.shedStatus = 503;
    service.availabilityObjective = 0.9995;
    for (int i = 3; i > 0; --i) {
      service.backendServers.push_back({ fmt::format("s{}", i),
                                         i == 1 ? "fd00::1" : "10.0.0.9",
                                         static_cast<std::uint16_t>(8000 + i),
                                         "tt",
                                         "piarco",
                                         i,
                                         300 + i,
                                         i == 2 });
    }
    content.services.push_back(service);
  }
  content.routes = { { "b.example", "/\"x\\", "permits", { "PUT", "DELETE" } },
                     { "", "/", "library", {} } };
  content.contracts = {
    { "zeta", { kKeyA, kKeyB }, { "permits" }, 0.1 },
    { "alpha", { std::string(64, 'c') }, { "library", "permits" }, 123456.75 }
  };
  return content;
}

// Guards against a field that is lost when a configuration is written to the
// store and read back.
BOOST_AUTO_TEST_CASE(ReadsBackEqual)
{
  Configuration::Content content = MakeFullContent();
  const std::string text = ConfigurationWriter::Write(content);
  ConfigurationReader reader;
  reader.Add("written", text);
  const auto again = reader.Finish();
  BOOST_TEST_REQUIRE(again.has_value(), reader.Faults().Format());
  ConfigurationWriter::Sort(content);
  BOOST_TEST((*again == content));
  BOOST_TEST(ConfigurationWriter::Write(*again) == text);
}

// Guards against backend servers that change their shard because the file is
// written again.
BOOST_AUTO_TEST_CASE(KeepsTheOrderOfBackendServers)
{
  Configuration::Content content = MakeFullContent();
  ConfigurationWriter::Sort(content);
  BOOST_TEST(content.services[0].name == "library");
  BOOST_TEST(content.services[0].backendServers[0].name == "s3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
