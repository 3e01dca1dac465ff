#include "cli/Commands.h"

#include "base/Digest.h"
#include "cli/ConfigurationDifference.h"
#include "cli/Help.h"
#include "cli/Reports.h"
#include "cli/StoreSession.h"
#include "configuration/ConfigurationReader.h"
#include "configuration/ConfigurationWriter.h"
#include "configuration/Suggestion.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace filbertbeam {

namespace {

using OutcomeKind = ConfigurationPublisher::OutcomeKind;

// Each concurrent change by another operator costs one attempt.
constexpr int kMaxMarkAttempts = 20;
constexpr Duration kStatusInterval = std::chrono::milliseconds(200);
// Number of hosts with an older revision that are listed by name.
constexpr std::size_t kMaxHostsShown = 10;

int
ExitCodeOf(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Accepted:
      return kExitDone;
    case OutcomeKind::Conflict:
    case OutcomeKind::Refused:
      return kExitRefused;
    case OutcomeKind::Unavailable:
    case OutcomeKind::Unknown:
      break;
  }
  return kExitUnreachable;
}

std::string
FormatTime(WallTime aTime)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(aTime)));
}

// Runs one subcommand of the tool.
class CommandRun
{
public:
  CommandRun(std::span<const std::string> aArguments,
             const CliOptions& aOptions,
             CliEnvironment& aEnvironment)
    : arguments_(aArguments)
    , options_(aOptions)
    , environment_(aEnvironment)
  {
  }

  int Run()
  {
    const std::string command = arguments_.empty() ? "help" : arguments_[0];
    if (command == "help") {
      return Help();
    }
    if (command == "validate") {
      return Validate();
    }
    if (command == "diff") {
      return Diff();
    }
    if (command == "apply") {
      return Apply();
    }
    if (command == "show") {
      return Show();
    }
    if (command == "mark") {
      return Mark();
    }
    if (command == "hash-key") {
      return HashKey();
    }
    if (command == "status") {
      return Status();
    }
    if (command == "explain") {
      return Explain();
    }
    if (command == "burn") {
      return Burn();
    }
    return ReportUsageError("",
                            fmt::format("\"{}\" is no subcommand{}",
                                        PrintableText(command),
                                        SuggestName(command, CommandNames())));
  }

private:
  // aCommand is the subcommand whose help the message refers to; empty for the
  // general help.
  int ReportUsageError(std::string_view aCommand, std::string_view aMessage)
  {
    environment_.err << "filbertbeam: " << aMessage
                     << "\nSee \"filbertbeam help"
                     << (aCommand.empty() ? "" : " ") << aCommand << "\".\n";
    return kExitUsage;
  }

  int Fail(int aExitCode, std::string_view aMessage)
  {
    if (options_.json) {
      environment_.out << FormatJson(QJsonObject{
        { "error",
          QString::fromUtf8(aMessage.data(),
                            static_cast<qsizetype>(aMessage.size())) } });
    } else {
      environment_.err << "filbertbeam: " << PrintableText(aMessage) << '\n';
    }
    return aExitCode;
  }

  bool HasArguments(std::size_t aCount) const
  {
    return arguments_.size() == aCount + 1;
  }

  int Help()
  {
    const std::string command = arguments_.size() > 1 ? arguments_[1] : "";
    const std::string text = HelpText(command);
    if (text.empty()) {
      return ReportUsageError(
        "",
        fmt::format("\"{}\" is no subcommand{}",
                    PrintableText(command),
                    SuggestName(command, CommandNames())));
    }
    environment_.out << text;
    return kExitDone;
  }

  // Reads the files that the arguments name. Reports the findings and returns
  // nothing when there are any.
  std::optional<Configuration::Content> ReadFiles()
  {
    ConfigurationReader reader;
    Findings findings;
    for (const std::string& name : arguments_.subspan(1)) {
      QFile file(QString::fromStdString(name));
      if (!file.open(QIODevice::ReadOnly)) {
        findings.Add({ name,
                       0,
                       "",
                       "cannot be read: " + file.errorString().toStdString() });
        continue;
      }
      // One byte more than the limit is enough for the reader to refuse it.
      reader.Add(
        name,
        file.read(static_cast<qint64>(ConfigurationReader::kMaxFileBytes) + 1)
          .toStdString());
    }
    std::optional<Configuration::Content> content = reader.Finish();
    for (const Finding& finding : reader.Faults().Items()) {
      findings.Add(finding);
    }
    // An empty file, applied by mistake, would take every customer out of
    // service.
    if (findings.IsEmpty() && content && content->services.empty()) {
      findings.Add({ arguments_.back(), 0, "services", "none is defined" });
    }
    if (findings.IsEmpty()) {
      return content;
    }
    if (options_.json) {
      environment_.out << FormatJson(FindingsToJson(findings));
    } else {
      environment_.err << findings.Format();
    }
    return std::nullopt;
  }

  int Validate()
  {
    if (arguments_.size() < 2) {
      return ReportUsageError("validate", "validate needs at least one file");
    }
    const auto content = ReadFiles();
    if (!content) {
      return kExitRefused;
    }
    std::size_t backendServers = 0;
    for (const Service& service : content->services) {
      backendServers += service.backendServers.size();
    }
    if (options_.json) {
      environment_.out << FormatJson(FindingsToJson({}));
    } else {
      environment_.out << fmt::format(
        "no findings: services {}, backend servers {}, routes {}, contracts "
        "{}\n",
        content->services.size(),
        backendServers,
        content->routes.size(),
        content->contracts.size());
    }
    return kExitDone;
  }

  // Reads the accepted configuration. Reports the reason and returns nothing
  // when it cannot be read.
  std::optional<StoreSession::InForce> ReadStore(StoreSession& aSession)
  {
    std::string reason;
    auto inForce = aSession.Read(reason);
    if (!inForce) {
      Fail(kExitUnreachable, "cannot read the configuration: " + reason);
    }
    return inForce;
  }

  int ReportMissingStore(std::string_view aCommand)
  {
    return ReportUsageError(aCommand,
                            "--platform or FILBERTBEAM_PLATFORM is not set");
  }

  int Diff()
  {
    if (arguments_.size() < 2) {
      return ReportUsageError("diff", "diff needs at least one file");
    }
    if (!environment_.store) {
      return ReportMissingStore("diff");
    }
    const auto content = ReadFiles();
    if (!content) {
      return kExitRefused;
    }
    StoreSession session(environment_);
    const auto inForce = ReadStore(session);
    if (!inForce) {
      return kExitUnreachable;
    }
    if (!inForce->content) {
      return Fail(kExitUnreachable,
                  "cannot read the configuration: " + inForce->contentReason);
    }
    const auto changes = CompareConfigurations(*inForce->content, *content);
    if (options_.json) {
      environment_.out << FormatJson(ChangesToJson(changes));
    } else {
      environment_.out << FormatChanges(changes);
    }
    return kExitDone;
  }

  int Apply()
  {
    if (arguments_.size() < 2) {
      return ReportUsageError("apply", "apply needs at least one file");
    }
    if (!environment_.store) {
      return ReportMissingStore("apply");
    }
    if (options_.wait && !environment_.admin) {
      return ReportUsageError("apply",
                              "--wait needs --admin and --operator_token_file");
    }
    const auto content = ReadFiles();
    if (!content) {
      return kExitRefused;
    }
    StoreSession session(environment_);
    auto inForce = ReadStore(session);
    if (!inForce) {
      return kExitUnreachable;
    }
    const std::uint64_t revision =
      inForce->base.head ? inForce->base.head->Revision() : 0;
    if (options_.baseRevision && *options_.baseRevision != revision) {
      return ReportOutcome(
        { OutcomeKind::Conflict,
          revision,
          inForce->base.head ? inForce->base.head->acceptance.author : "",
          fmt::format("the files were made from revision {}, and revision {} "
                      "{}is accepted",
                      *options_.baseRevision,
                      revision,
                      FormatAuthor(inForce->base)) });
    }
    if (!inForce->content) {
      // Without known parts, publishing writes every part again, which replaces
      // damaged ones.
      inForce->base.head->parts.clear();
    } else if (CompareConfigurations(*inForce->content, *content).empty() &&
               revision > 0) {
      return ReportUnchanged(revision);
    }
    const auto outcome =
      session.Publish(*content, inForce->base, options_.author);
    if (outcome.kind != OutcomeKind::Accepted || !options_.wait) {
      return ReportOutcome(outcome);
    }
    return WaitAndReportOutcome(outcome);
  }

  static std::string FormatAuthor(const ConfigurationPublisher::Base& aBase)
  {
    return aBase.head ? fmt::format("by {} ", aBase.head->acceptance.author)
                      : "";
  }

  int ReportUnchanged(std::uint64_t aRevision)
  {
    if (options_.json) {
      environment_.out << FormatJson(
        QJsonObject{ { "outcome", "unchanged" },
                     { "revision", static_cast<qint64>(aRevision) } });
    } else {
      environment_.out << fmt::format("no changes; revision {} stays\n",
                                      aRevision);
    }
    return kExitDone;
  }

  int ReportOutcome(const ConfigurationPublisher::Outcome& aOutcome)
  {
    if (options_.json) {
      environment_.out << FormatJson(OutcomeToJson(aOutcome));
    } else {
      std::ostream& stream = aOutcome.kind == OutcomeKind::Accepted
                               ? environment_.out
                               : environment_.err;
      stream << FormatOutcome(aOutcome);
    }
    return ExitCodeOf(aOutcome.kind);
  }

  struct RolloutStatus
  {
    std::size_t liveHosts = 0;
    std::vector<std::string> behind;
  };

  static RolloutStatus ReadRolloutStatus(const QJsonObject& aStatus,
                                         std::uint64_t aRevision)
  {
    RolloutStatus rollout;
    for (const QJsonValue value : aStatus["hosts"].toArray()) {
      const QJsonObject host = value.toObject();
      if (host["state"].toString() != "live") {
        continue;
      }
      ++rollout.liveHosts;
      if (host["revision"].toDouble() < static_cast<double>(aRevision)) {
        rollout.behind.push_back(host["host"].toString().toStdString());
      }
    }
    return rollout;
  }

  // Waits until the revision is in force on every live host.
  int WaitAndReportOutcome(const ConfigurationPublisher::Outcome& aOutcome)
  {
    if (!options_.json) {
      environment_.out << FormatOutcome(aOutcome) << std::flush;
    }
    const Instant start = environment_.clock.Now();
    const Instant deadline = start + options_.waitTimeout;
    RolloutStatus rollout;
    std::string reason;
    bool isDone = false;
    while (true) {
      QJsonObject status;
      reason.clear();
      if (GetJson("/status", status, reason) == kExitDone) {
        rollout = ReadRolloutStatus(status, aOutcome.revision);
        isDone = rollout.liveHosts > 0 && rollout.behind.empty();
      }
      if (isDone || environment_.clock.Now() >= deadline) {
        break;
      }
      const Instant next = environment_.clock.Now() + kStatusInterval;
      while (environment_.clock.Now() < next) {
        environment_.pause();
      }
    }
    const double seconds =
      std::chrono::duration<double>(environment_.clock.Now() - start).count();
    const std::size_t inForce = rollout.liveHosts - rollout.behind.size();
    if (options_.json) {
      QJsonObject object = OutcomeToJson(aOutcome);
      object["live_hosts"] = static_cast<qint64>(rollout.liveHosts);
      object["in_force_on"] = static_cast<qint64>(inForce);
      object["seconds"] = seconds;
      object["status_error"] = QString::fromStdString(reason);
      environment_.out << FormatJson(object);
    } else {
      environment_.out << fmt::format(
        "in force on {} of {} live hosts after {:.1f} s\n",
        inForce,
        rollout.liveHosts,
        seconds);
      if (!reason.empty()) {
        environment_.err << "filbertbeam: " << PrintableText(reason) << '\n';
      } else if (!isDone) {
        environment_.err << "still behind: "
                         << FormatHostsBehind(rollout.behind) << '\n';
      }
    }
    if (isDone) {
      return kExitDone;
    }
    return reason.empty() ? kExitRefused : kExitUnreachable;
  }

  static std::string FormatHostsBehind(std::vector<std::string> aHosts)
  {
    const std::size_t count = aHosts.size();
    aHosts.resize(std::min(count, kMaxHostsShown));
    std::string text =
      PrintableText(fmt::format("{}", fmt::join(aHosts, ", ")));
    if (count > kMaxHostsShown) {
      text += fmt::format(" and {} more", count - kMaxHostsShown);
    }
    return text;
  }

  int Show()
  {
    if (!HasArguments(0)) {
      return ReportUsageError("show", "show takes no arguments");
    }
    if (!environment_.store) {
      return ReportMissingStore("show");
    }
    StoreSession session(environment_);
    auto inForce = ReadStore(session);
    if (!inForce) {
      return kExitUnreachable;
    }
    if (!inForce->base.head) {
      return Fail(kExitRefused, "no configuration was accepted yet");
    }
    if (!inForce->content) {
      return Fail(kExitUnreachable,
                  "cannot read the configuration: " + inForce->contentReason);
    }
    const ConfigurationAcceptance& acceptance = inForce->base.head->acceptance;
    const std::string text =
      ConfigurationWriter::Write(std::move(*inForce->content));
    if (options_.json) {
      environment_.out << FormatJson(QJsonObject{
        { "revision", static_cast<qint64>(acceptance.revision) },
        { "author", QString::fromStdString(acceptance.author) },
        { "accepted_at",
          QString::fromStdString(FormatTime(acceptance.acceptedAt)) },
        { "configuration",
          QJsonDocument::fromJson(QByteArray::fromStdString(text))
            .object() } });
    } else {
      environment_.err << fmt::format("revision {} by {}, accepted {}\n",
                                      acceptance.revision,
                                      PrintableText(acceptance.author),
                                      FormatTime(acceptance.acceptedAt));
      environment_.out << text;
    }
    return kExitDone;
  }

  static BackendServer* FindBackendServer(Configuration::Content& aContent,
                                          std::string_view aService,
                                          std::string_view aName)
  {
    for (Service& service : aContent.services) {
      if (service.name != aService) {
        continue;
      }
      for (BackendServer& backendServer : service.backendServers) {
        if (backendServer.name == aName) {
          return &backendServer;
        }
      }
    }
    return nullptr;
  }

  int Mark()
  {
    if (!HasArguments(3) ||
        (arguments_[3] != "leaving" && arguments_[3] != "entering")) {
      return ReportUsageError(
        "mark",
        "mark needs a service, a backend server, and \"leaving\" or "
        "\"entering\"");
    }
    if (!environment_.store) {
      return ReportMissingStore("mark");
    }
    const bool isLeaving = arguments_[3] == "leaving";
    StoreSession session(environment_);
    // The backend server as it was when the operator gave the command.
    std::optional<BackendServer> original;
    for (int i = 0; i < kMaxMarkAttempts; ++i) {
      auto inForce = ReadStore(session);
      if (!inForce) {
        return kExitUnreachable;
      }
      if (!inForce->content) {
        return Fail(kExitUnreachable,
                    "cannot read the configuration: " + inForce->contentReason);
      }
      BackendServer* backendServer =
        FindBackendServer(*inForce->content, arguments_[1], arguments_[2]);
      if (original && (!backendServer || *backendServer != *original)) {
        return ReportOutcome(
          { OutcomeKind::Conflict,
            inForce->base.head->Revision(),
            inForce->base.head->acceptance.author,
            fmt::format("backend server {}/{} was {} meanwhile; "
                        "revision {} {}is accepted",
                        arguments_[1],
                        arguments_[2],
                        backendServer ? "changed" : "removed",
                        inForce->base.head->Revision(),
                        FormatAuthor(inForce->base)) });
      }
      if (!backendServer) {
        return Fail(kExitRefused,
                    fmt::format("there is no backend server {}/{}",
                                arguments_[1],
                                arguments_[2]));
      }
      if (backendServer->isLeaving == isLeaving) {
        return ReportUnchanged(inForce->base.head->Revision());
      }
      original = *backendServer;
      backendServer->isLeaving = isLeaving;
      const auto outcome =
        session.Publish(*inForce->content, inForce->base, options_.author);
      if (outcome.kind != OutcomeKind::Conflict) {
        return ReportOutcome(outcome);
      }
    }
    return Fail(kExitRefused,
                fmt::format("gave up after {} attempts, since others keep "
                            "changing the configuration",
                            kMaxMarkAttempts));
  }

  int HashKey()
  {
    if (!HasArguments(0)) {
      return ReportUsageError("hash-key",
                              "hash-key reads the key from standard input");
    }
    std::string key{ std::istreambuf_iterator<char>(environment_.in),
                     std::istreambuf_iterator<char>() };
    if (key.ends_with('\n')) {
      key.pop_back();
    }
    if (key.ends_with('\r')) {
      key.pop_back();
    }
    // Requests carry the key in a header field, which cannot contain such
    // characters and loses leading and trailing spaces, so such a key would
    // never match.
    const bool isFieldValue =
      !key.empty() && key.front() != ' ' && key.back() != ' ' &&
      std::all_of(key.begin(), key.end(), [](char aCharacter) {
        const auto code = static_cast<unsigned char>(aCharacter);
        return code >= ' ' && code != 0x7f;
      });
    if (!isFieldValue) {
      return Fail(kExitRefused,
                  "the key is empty, starts or ends with a space, or contains "
                  "a control character");
    }
    const std::string hash = Sha256Hex(key);
    if (options_.json) {
      environment_.out << FormatJson(
        QJsonObject{ { "key_sha256", QString::fromStdString(hash) } });
    } else {
      environment_.out << hash << '\n';
    }
    return kExitDone;
  }

  // Returns an exit code; fills aReason on failure.
  int GetJson(const std::string& aTarget,
              QJsonObject& aObject,
              std::string& aReason)
  {
    const AdminEndpoint::Response response = environment_.admin->Get(aTarget);
    if (response.status == 0) {
      aReason = "cannot reach the daemon: " + response.reason;
      return kExitUnreachable;
    }
    if (response.status == 401 || response.status == 403) {
      aReason = "the daemon does not accept the operator token";
      return kExitRefused;
    }
    const QJsonDocument document = QJsonDocument::fromJson(response.body);
    if (response.status != 200 || !document.isObject()) {
      aReason =
        fmt::format("the daemon answered {} without a result", response.status);
      return kExitUnreachable;
    }
    aObject = document.object();
    return kExitDone;
  }

  int ShowAdminResponse(std::string_view aCommand,
                        const std::string& aTarget,
                        std::string (*aFormat)(const QJsonObject&))
  {
    if (!environment_.admin) {
      return ReportUsageError(
        aCommand,
        "--admin and --operator_token_file (or "
        "FILBERTBEAM_ADMIN and FILBERTBEAM_OPERATOR_TOKEN_FILE) "
        "have to be set");
    }
    QJsonObject object;
    std::string reason;
    const int exitCode = GetJson(aTarget, object, reason);
    if (exitCode != kExitDone) {
      return Fail(exitCode, reason);
    }
    environment_.out << (options_.json ? FormatJson(object) : aFormat(object));
    return kExitDone;
  }

  int Status()
  {
    if (!HasArguments(0)) {
      return ReportUsageError("status", "status takes no arguments");
    }
    return ShowAdminResponse("status", "/status", &FormatStatus);
  }

  int Explain()
  {
    const std::string kind = arguments_.size() > 1 ? arguments_[1] : "";
    if (!HasArguments(2) ||
        (kind != "customer" && kind != "backend-server" && kind != "request")) {
      return ReportUsageError(
        "explain",
        "explain needs \"customer\", \"backend-server\" or "
        "\"request\", and a name");
    }
    const std::string name =
      QUrl::toPercentEncoding(QString::fromStdString(arguments_[2]))
        .toStdString();
    return ShowAdminResponse(
      "explain",
      fmt::format("/explain?kind={}&name={}", kind, name),
      &FormatExplanation);
  }

  int Burn()
  {
    if (!HasArguments(0)) {
      return ReportUsageError("burn", "burn takes no arguments");
    }
    return ShowAdminResponse("burn", "/burn", &FormatBurn);
  }

  std::span<const std::string> arguments_;
  const CliOptions& options_;
  CliEnvironment& environment_;
};

} // namespace

int
RunCommand(std::span<const std::string> aArguments,
           const CliOptions& aOptions,
           CliEnvironment& aEnvironment)
{
  return CommandRun(aArguments, aOptions, aEnvironment).Run();
}

} // namespace filbertbeam
