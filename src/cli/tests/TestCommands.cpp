#include "base/Log.h"
#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "cli/Commands.h"
#include "configuration/ConfigurationHead.h"
#include "configuration/ConfigurationParts.h"
#include "store/MemoryObjectStore.h"

#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <QTemporaryDir>
#include <QThread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <sstream>

using namespace filbertbeam;

namespace {

const std::string kFleet = R"({
  "services": [
    { "name": "permits", "floor": 0.8, "shed_status": 503,
      "backend_servers": [
        { "name": "permit-1", "address": "10.1.0.1", "port": 8080,
          "region": "tt-north", "domain": "piarco", "slots": 4 },
        { "name": "permit-2", "address": "10.1.0.2", "port": 8080,
          "region": "tt-north", "domain": "san-juan", "slots": 4 } ] }
  ],
  "routes": [ { "path_prefix": "/permits", "service": "permits" } ],
  "contracts": [
    { "customer": "inspectors", "requests_per_second": 50,
      "key_sha256": [
"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"],
      "services": ["permits"] }
  ]
}
)";

std::string
ReplaceFirst(std::string aText, std::string_view aFrom, std::string_view aTo)
{
  const std::size_t at = aText.find(aFrom);
  BOOST_TEST_REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

// Returns responses from a table.
class FakeAdminEndpoint final : public AdminEndpoint
{
public:
  std::map<std::string, std::function<Response()>> responses;

  Response Get(const std::string& aTarget) override
  {
    const auto found = responses.find(aTarget);
    return found == responses.end() ? Response{ 0, {}, "connection refused" }
                                    : found->second();
  }
};

struct Tool
{
  Tool()
  {
    SetLogLevel(LogLevel::Error);
    QDir::setCurrent(folder.path());
    options.author = "maria";
  }

  ~Tool()
  {
    QDir::setCurrent(QDir::rootPath());
    SetLogLevel(LogLevel::Info);
  }

  static void WriteFile(const char* aName, const std::string& aText)
  {
    QFile file(aName);
    BOOST_TEST_REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(QByteArray::fromStdString(aText));
  }

  // Returns the exit code, standard output and standard error of one run.
  std::string Run(const std::vector<std::string>& aArguments)
  {
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    CliEnvironment environment{ hasStore ? &store : nullptr,
                                hasAdmin ? &admin : nullptr,
                                clock,
                                random,
                                [this] { Pause(); },
                                in,
                                out,
                                err };
    exitCode = RunCommand(aArguments, options, environment);
    output = out.str();
    return fmt::format("exit code {}\n-- standard output --\n{}"
                       "-- standard error --\n{}",
                       exitCode,
                       output,
                       err.str());
  }

  void Pause()
  {
    if (isStoreSlow) {
      QThread::msleep(20);
    }
    for (int i = 0; i < 5; ++i) {
      QCoreApplication::processEvents();
    }
    clock.Advance(std::chrono::milliseconds(20));
    if (const auto action = std::exchange(onPause, nullptr)) {
      action();
    }
  }

  // Compares aText with golden/aName.txt; FILBERTBEAM_UPDATE_GOLDEN=1 rewrites
  // the file.
  static void CheckGolden(const char* aName, const std::string& aText)
  {
    QFile file(QString("%1/golden/%2.txt").arg(FILBERTBEAM_TEST_DATA, aName));
    if (std::getenv("FILBERTBEAM_UPDATE_GOLDEN")) { // NOLINT
      BOOST_TEST_REQUIRE(file.open(QIODevice::WriteOnly));
      file.write(QByteArray::fromStdString(aText));
      return;
    }
    BOOST_TEST_REQUIRE(file.open(QIODevice::ReadOnly));
    BOOST_TEST(aText == file.readAll().toStdString());
  }

  void ApplyFleet()
  {
    WriteFile("fleet.json", kFleet);
    Run({ "apply", "fleet.json" });
    BOOST_TEST_REQUIRE(exitCode == 0);
  }

  // Applies a change of another operator, in a separate run of the tool.
  void ApplyOther(const std::string& aText, const char* aAuthor)
  {
    MemoryObjectStore otherStore(objects);
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    CliEnvironment environment{ &otherStore,
                                nullptr,
                                clock,
                                random,
                                [] { QCoreApplication::processEvents(); },
                                in,
                                out,
                                err };
    CliOptions otherOptions;
    otherOptions.author = aAuthor;
    WriteFile("other.json", aText);
    const std::vector<std::string> arguments{ "apply", "other.json" };
    BOOST_TEST_REQUIRE(RunCommand(arguments, otherOptions, environment) == 0);
  }

  QTemporaryDir folder;
  std::shared_ptr<StoredObjects> objects = std::make_shared<StoredObjects>();
  MemoryObjectStore store{ objects };
  FakeAdminEndpoint admin;
  ManualClock clock;
  SeededRandom random{ 3 };
  CliOptions options;
  bool hasStore = true;
  bool hasAdmin = true;
  // Pauses also sleep, since the delays of the store pass in real time.
  bool isStoreSlow = false;
  std::string input;
  std::string output;
  int exitCode = -1;
  // Runs once, in the next pause.
  std::function<void()> onPause;
};

std::function<AdminEndpoint::Response()>
RespondWith(int aStatus, const char* aBody)
{
  return [aStatus, aBody] {
    return AdminEndpoint::Response{ aStatus, aBody, {} };
  };
}

constexpr const char* kStatus = R"({"host":"entry-1","revision":7,"ready":true,
"hosts":[
{"host":"entry-1","domain":"piarco","state":"live","revision":7},
{"host":"entry-2","domain":"san-juan","state":"live","revision":6},
{"host":"entry-3","domain":"san-juan","state":"leaving","revision":6},
{"host":"entry-4","domain":"chaguanas","state":"unreachable","revision":5}],
"backend_servers":[
{"backend_server":"permit-1","state":"ejected","slots":4,"used_slots":1,
"recent_ejections":2,"last_reason":"latency \u001b[31m3.1 above the median"}]})";

constexpr const char* kBurn = R"({"services":[
{"service":"permits","customer":"inspectors","objective":0.999,"windows":[
{"window_s":300,"requests":1200,"failed":6,"burn_rate":5},
{"window_s":3600,"requests":9000,"failed":6,"burn_rate":0.6667}]}]})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(Commands, Tool)

BOOST_AUTO_TEST_SUITE(Usage)

// Guards against a mistyped command that runs as another one.
BOOST_AUTO_TEST_CASE(WrongUsageHasItsOwnExitCodeAndChangesNothing)
{
  const std::vector<std::string> runs[] = {
    { "aply", "fleet.json" },
    { "validate" },
    { "diff" },
    { "apply" },
    { "show", "extra" },
    { "mark", "permits", "permit-1" },
    { "mark", "permits", "permit-1", "gone" },
    { "hash-key", "secret" },
    { "status", "extra" },
    { "explain", "host", "x" },
    { "explain", "customer" },
    { "burn", "extra" },
    { "help", "aply" },
  };
  std::string all;
  for (const std::vector<std::string>& arguments : runs) {
    all += Run(arguments);
    BOOST_TEST(exitCode == 2);
  }
  CheckGolden("usage", all);
  BOOST_TEST(store.Counts().Writes() == 0U);
}

BOOST_AUTO_TEST_CASE(MissingSettingsAreWrongUsage)
{
  hasStore = false;
  hasAdmin = false;
  WriteFile("fleet.json", kFleet);
  const std::vector<std::string> runs[] = {
    { "diff", "fleet.json" },
    { "apply", "fleet.json" },
    { "show" },
    { "mark", "a", "b", "leaving" },
    { "status" },
    { "explain", "request", "1" },
    { "burn" },
  };
  std::string all;
  for (const std::vector<std::string>& arguments : runs) {
    all += Run(arguments);
    BOOST_TEST(exitCode == 2);
  }
  CheckGolden("missing-settings", all);
}

BOOST_AUTO_TEST_CASE(EverySubcommandHasHelpWithExamples)
{
  CheckGolden("help", Run({ "help" }));
  for (const char* command : { "validate",
                               "diff",
                               "apply",
                               "show",
                               "mark",
                               "hash-key",
                               "status",
                               "explain",
                               "burn" }) {
    Run({ "help", command });
    BOOST_TEST(exitCode == 0);
    BOOST_TEST(output.find("Example") != std::string::npos);
  }
  CheckGolden("help-apply", Run({ "help", "apply" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Files)

BOOST_AUTO_TEST_CASE(ValidateReportsAllFindings)
{
  WriteFile("fleet.json", kFleet);
  CheckGolden("validate", Run({ "validate", "fleet.json" }));
  WriteFile(
    "bad.json",
    ReplaceFirst(ReplaceFirst(kFleet, "0.8", "0.3"), "\"port\"", "\"prot\""));
  CheckGolden("validate-findings",
              Run({ "validate", "bad.json", "absent.json" }));
  BOOST_TEST(exitCode == 1);
  options.json = true;
  CheckGolden("validate-findings-json", Run({ "validate", "bad.json" }));
}

// Guards against an empty file that takes every customer out of service.
BOOST_AUTO_TEST_CASE(AFileWithoutServicesIsNotApplied)
{
  ApplyFleet();
  WriteFile("empty.json", "{}");
  CheckGolden("apply-empty", Run({ "apply", "empty.json" }));
  BOOST_TEST(exitCode == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Configurations)

BOOST_AUTO_TEST_CASE(DiffShowsWhatApplyWouldChange)
{
  ApplyFleet();
  CheckGolden("diff-equal", Run({ "diff", "fleet.json" }));
  std::string changed = ReplaceFirst(kFleet, "0.8", "0.9");
  changed = ReplaceFirst(changed, "\"slots\": 4", "\"slots\": 8");
  changed = ReplaceFirst(changed, "permit-2", "permit-3");
  changed = ReplaceFirst(changed, "\"/permits\"", "\"/licences\"");
  changed = ReplaceFirst(changed, "second\": 50", "second\": 60.5");
  WriteFile("changed.json", changed);
  CheckGolden("diff", Run({ "diff", "changed.json" }));
  options.json = true;
  CheckGolden("diff-json", Run({ "diff", "changed.json" }));
}

// Guards against a change of order that changes shards but is not shown.
BOOST_AUTO_TEST_CASE(DiffShowsAChangedOrderOfBackendServers)
{
  ApplyFleet();
  std::string changed = ReplaceFirst(kFleet, "permit-1", "x");
  changed = ReplaceFirst(changed, "permit-2", "permit-1");
  changed = ReplaceFirst(changed, "\"x\"", "\"permit-2\"");
  WriteFile("changed.json", changed);
  Run({ "diff", "changed.json" });
  BOOST_TEST(output.find("order of backend_servers permit-1, permit-2 -> "
                         "permit-2, permit-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ApplyAndShow)
{
  CheckGolden("show-none", Run({ "show" }));
  WriteFile("fleet.json", kFleet);
  CheckGolden("apply", Run({ "apply", "fleet.json" }));
  CheckGolden("apply-again", Run({ "apply", "fleet.json" }));
  CheckGolden("show", Run({ "show" }));
  const std::string shown = output;
  WriteFile("shown.json", shown);
  Run({ "diff", "shown.json" });
  BOOST_TEST(output == "no changes\n");
  options.json = true;
  CheckGolden("show-json", Run({ "show" }));
  CheckGolden("apply-json", Run({ "apply", "shown.json" }));
}

// Guards against a configuration that overwrites one that its author has not
// seen.
BOOST_AUTO_TEST_CASE(AnOutdatedBaseRevisionIsAConflict)
{
  ApplyFleet();
  ApplyOther(ReplaceFirst(kFleet, "0.8", "0.9"), "kwame");
  WriteFile("mine.json", ReplaceFirst(kFleet, "second\": 50", "second\": 60"));
  options.baseRevision = 1;
  CheckGolden("apply-conflict", Run({ "apply", "mine.json" }));
  BOOST_TEST(exitCode == 1);
  options.json = true;
  CheckGolden("apply-conflict-json", Run({ "apply", "mine.json" }));
  options.baseRevision = 2;
  Run({ "apply", "mine.json" });
  BOOST_TEST(exitCode == 0);
}

BOOST_AUTO_TEST_CASE(AChangeDuringApplyIsAConflict)
{
  ApplyFleet();
  WriteFile("mine.json", ReplaceFirst(kFleet, "second\": 50", "second\": 60"));
  // The other change comes after the head has been read, while the update is
  // pending in the store.
  objects->AddListener(
    [&, isFirst = true](const StoredObject& aObject) mutable {
      if (isFirst && aObject.key.starts_with("config/parts/")) {
        isFirst = false;
        onPause = [this] {
          ApplyOther(ReplaceFirst(kFleet, "0.8", "0.9"), "kwame");
        };
      }
    });
  StoreFaults slow;
  slow.delay = std::chrono::milliseconds(150);
  store.SetFaults(slow);
  isStoreSlow = true;
  Run({ "apply", "mine.json" });
  BOOST_TEST(exitCode == 1);
  store.SetFaults({});
  Run({ "show" });
  BOOST_TEST(output.find("\"floor\":0.9") != std::string::npos);
  BOOST_TEST(output.find("\"requests_per_second\":50") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AnUnreachableStoreHasItsOwnExitCode)
{
  ApplyFleet();
  StoreFaults outage;
  outage.isUnavailable = true;
  store.SetFaults(outage);
  WriteFile("changed.json", ReplaceFirst(kFleet, "0.8", "0.9"));
  const std::vector<std::string> runs[] = {
    { "show" },
    { "diff", "changed.json" },
    { "apply", "changed.json" },
    { "mark", "permits", "permit-1", "leaving" },
  };
  std::string all;
  for (const std::vector<std::string>& arguments : runs) {
    all += Run(arguments);
    BOOST_TEST(exitCode == 3);
  }
  CheckGolden("store-away", all);
  StoreFaults unresponsive;
  unresponsive.delay = std::chrono::hours(1);
  store.SetFaults(unresponsive);
  Run({ "show" });
  BOOST_TEST(exitCode == 3);
}

// Guards against a damaged part that operators cannot replace.
BOOST_AUTO_TEST_CASE(ADamagedPartIsReplacedByApply)
{
  ApplyFleet();
  std::string reason;
  const auto head = ConfigurationHead::Parse(
    objects->Get(kConfigurationHeadKey).value->value, reason);
  for (const ConfigurationPartReference& part : head->parts) {
    const std::string key = ConfigurationParts::KeyOf(part.sha256);
    objects->Update(key, "damaged", objects->Get(key).value->version);
  }
  Run({ "show" });
  BOOST_TEST(exitCode == 3);
  Run({ "apply", "fleet.json" });
  BOOST_TEST(exitCode == 0);
  Run({ "show" });
  BOOST_TEST(exitCode == 0);
}

BOOST_AUTO_TEST_SUITE(Waiting)

BOOST_AUTO_TEST_CASE(ReportsOnHowManyHostsTheRevisionIsInForce)
{
  WriteFile("fleet.json", kFleet);
  options.wait = true;
  int calls = 0;
  admin.responses["/status"] = [&calls] {
    return ++calls < 4 ? AdminEndpoint::Response{ 200,
                                                  R"({"hosts":[
{"host":"entry-1","state":"live","revision":1},
{"host":"entry-2","state":"live","revision":0},
{"host":"entry-3","state":"unreachable","revision":0}]})",
                                                  {} }
                       : AdminEndpoint::Response{ 200,
                                                  R"({"hosts":[
{"host":"entry-1","state":"live","revision":1},
{"host":"entry-2","state":"live","revision":1},
{"host":"entry-3","state":"unreachable","revision":0}]})",
                                                  {} };
  };
  CheckGolden("apply-wait", Run({ "apply", "fleet.json" }));
  BOOST_TEST(exitCode == 0);
}

// Guards against reporting success while hosts still have the old
// configuration.
BOOST_AUTO_TEST_CASE(ListsTheHostsThatRemainBehind)
{
  WriteFile("fleet.json", kFleet);
  options.wait = true;
  admin.responses["/status"] = RespondWith(200, R"({"hosts":[
{"host":"entry-1","state":"live","revision":1},
{"host":"entry-2","state":"live","revision":0}]})");
  CheckGolden("apply-wait-behind", Run({ "apply", "fleet.json" }));
  BOOST_TEST(exitCode == 1);
  admin.responses.clear();
  WriteFile("fleet.json", ReplaceFirst(kFleet, "0.8", "0.9"));
  CheckGolden("apply-wait-unreachable", Run({ "apply", "fleet.json" }));
  BOOST_TEST(exitCode == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Marks)

BOOST_AUTO_TEST_CASE(AreSetAndRemoved)
{
  ApplyFleet();
  const std::vector<std::string> runs[] = {
    { "mark", "permits", "permit-1", "leaving" },
    { "mark", "permits", "permit-1", "leaving" },
    { "diff", "fleet.json" },
    { "mark", "permits", "permit-1", "entering" },
    { "diff", "fleet.json" },
    { "mark", "permits", "permit-9", "leaving" },
  };
  std::string all;
  for (const std::vector<std::string>& arguments : runs) {
    all += Run(arguments);
  }
  CheckGolden("mark", all);
}

// Applies another operator's change while a mark is being written.
struct RacingTool : Tool
{
  void Race(const std::string& aOther)
  {
    ApplyFleet();
    objects->AddListener(
      [this, aOther, isFirst = true](const StoredObject& aObject) mutable {
        if (isFirst && aObject.key.starts_with("config/parts/")) {
          isFirst = false;
          onPause = [this, aOther] {
            ApplyOther(aOther, "kwame");
            store.SetFaults({});
          };
        }
      });
    StoreFaults slow;
    slow.delay = std::chrono::milliseconds(150);
    store.SetFaults(slow);
    isStoreSlow = true;
  }
};

// Guards against a mark that drops another operator's change.
BOOST_FIXTURE_TEST_CASE(KeepConcurrentChangesOfOthers, RacingTool)
{
  Race(ReplaceFirst(kFleet, "0.8", "0.9"));
  Run({ "mark", "permits", "permit-1", "leaving" });
  BOOST_TEST(exitCode == 0);
  BOOST_TEST(output == "revision 3 is accepted\n");
  Run({ "show" });
  BOOST_TEST(output.find("\"floor\":0.9") != std::string::npos);
  BOOST_TEST(output.find("\"leaving\":true") != std::string::npos);
}

// Guards against marking a backend server that has been replaced by another one
// in the meantime.
BOOST_FIXTURE_TEST_CASE(ConflictWithAChangeOfTheSameServer, RacingTool)
{
  Race(ReplaceFirst(kFleet, "10.1.0.1", "10.1.0.9"));
  CheckGolden("mark-conflict",
              Run({ "mark", "permits", "permit-1", "leaving" }));
  BOOST_TEST(exitCode == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Keys)

BOOST_AUTO_TEST_CASE(AreHashedWithoutTheLineBreak)
{
  input = "abc\n";
  CheckGolden("hash-key", Run({ "hash-key" }));
  const std::string withLineBreak = output;
  input = "abc";
  Run({ "hash-key" });
  BOOST_TEST(output == withLineBreak);
  input = "abc\r\n";
  Run({ "hash-key" });
  BOOST_TEST(output == withLineBreak);
  options.json = true;
  CheckGolden("hash-key-json", Run({ "hash-key" }));
}

// Guards against a hash that no request can match.
BOOST_AUTO_TEST_CASE(ThatNoRequestCanCarryAreRefused)
{
  for (const char* key : { "", "\n", "a\nb", " a", "a ", "a\tb", "a\n\n" }) {
    input = key;
    Run({ "hash-key" });
    BOOST_TEST(exitCode == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Daemons)

BOOST_AUTO_TEST_CASE(StatusExplainAndBurn)
{
  admin.responses["/status"] = RespondWith(200, kStatus);
  admin.responses["/burn"] = RespondWith(200, kBurn);
  admin.responses["/explain?kind=customer&name=a%2Fb"] =
    RespondWith(200, R"({"events":[
{"time":"2026-12-04T08:00:00Z","text":"refused 3 requests above the promise"},
{"time":"2026-12-04T08:00:05Z","text":"share is 12.5 requests per second"}]})");
  admin.responses["/explain?kind=request&name=9"] =
    RespondWith(200, R"({"events":[]})");
  CheckGolden("status", Run({ "status" }));
  CheckGolden("burn", Run({ "burn" }));
  CheckGolden("explain", Run({ "explain", "customer", "a/b" }));
  CheckGolden("explain-unknown", Run({ "explain", "request", "9" }));
  options.json = true;
  CheckGolden("status-json", Run({ "status" }));
}

BOOST_AUTO_TEST_CASE(FailuresAreDistinguished)
{
  std::string all = Run({ "status" });
  BOOST_TEST(exitCode == 3);
  admin.responses["/status"] = RespondWith(401, "{}");
  all += Run({ "status" });
  BOOST_TEST(exitCode == 1);
  admin.responses["/status"] = RespondWith(200, "<html>");
  all += Run({ "status" });
  BOOST_TEST(exitCode == 3);
  CheckGolden("daemon-failures", all);
}

// Guards against a daemon of another release that omits or changes fields.
BOOST_AUTO_TEST_CASE(UnexpectedResponsesDoNotCrash)
{
  for (const char* body : { "{}",
                            R"({"hosts":7,"revision":"x"})",
                            R"({"hosts":[1,{"host":3,"revision":-1e300}]})",
                            R"({"services":[{"windows":[{},3]}]})",
                            R"({"events":[null,{"time":1}]})" }) {
    for (const char* target : { "/status", "/burn" }) {
      admin.responses[target] = RespondWith(200, body);
      Run({ target + 1 });
      BOOST_TEST(exitCode == 0);
    }
    admin.responses["/explain?kind=request&name=9"] = RespondWith(200, body);
    Run({ "explain", "request", "9" });
    BOOST_TEST(exitCode == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
