#include "cli/ToolSettings.h"

#include "http/EndpointText.h"

#include <gflags/gflags.h>

#include <QFile>
#include <QStringList>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <unistd.h>
#include <utility>

DEFINE_string(platform, "", "IP:PORT[,IP:PORT...] of the platform's services");
DEFINE_string(admin, "", "IP:PORT[,IP:PORT...] of admin endpoints of daemons");
DEFINE_string(operator_token_file, "", "File with the token of operators");
DEFINE_string(author, "", "Name to record with a revision");
DEFINE_bool(json, false, "Output for programs");
DEFINE_bool(wait, false, "Wait until the revision is in force");
DEFINE_int32(wait_timeout_s, 30, "Seconds to wait at most");
DEFINE_int64(base_revision, -1, "Revision that the files were made from");

DECLARE_bool(help);

// gflags defines this variable for programs that set their own exit code, but
// its header does not declare it.
namespace GFLAGS_NAMESPACE {
extern void (*gflags_exitfunc)(int); // NOLINT
} // namespace GFLAGS_NAMESPACE

namespace filbertbeam {

namespace {

constexpr std::array<const char*, 8> kFlagNames{
  "platform", "admin", "operator_token_file", "author",
  "json",     "wait",  "wait_timeout_s",      "base_revision",
};

// Flags given on the command line take precedence over the environment.
void
ReadEnvironment(Findings& aFindings)
{
  for (const char* name : kFlagNames) {
    std::string variable = "FILBERTBEAM_";
    for (const char* letter = name; *letter != '\0'; ++letter) {
      variable += *letter >= 'a' && *letter <= 'z'
                    ? static_cast<char>(*letter - 'a' + 'A')
                    : *letter;
    }
    // The environment is read before the first thread starts.
    const char* value = std::getenv(variable.c_str()); // NOLINT
    if (value && gflags::SetCommandLineOptionWithMode(
                   name, value, gflags::SET_FLAGS_DEFAULT)
                   .empty()) {
      aFindings.Add({ variable, 0, "", "is malformed" });
    }
  }
}

// Adds one text and one endpoint for each item of a comma-separated list.
void
ReadEndpoints(Findings& aFindings,
              const char* aFlag,
              const std::string& aText,
              std::vector<std::string>& aTexts,
              std::vector<Endpoint>& aEndpoints)
{
  const QStringList parts =
    QString::fromStdString(aText).split(',', Qt::SkipEmptyParts);
  for (const QString& part : parts) {
    const std::string text = part.trimmed().toStdString();
    std::string reason;
    const std::optional<Endpoint> endpoint = ParseEndpoint(text, reason);
    if (!endpoint || endpoint->port == 0) {
      aFindings.Add(
        { aFlag, 0, "", fmt::format("\"{}\" is not IP:PORT", text) });
      continue;
    }
    aTexts.push_back(text);
    aEndpoints.push_back(*endpoint);
  }
}

std::string
ReadToken(Findings& aFindings)
{
  if (FLAGS_operator_token_file.empty()) {
    return {};
  }
  QFile file(QString::fromStdString(FLAGS_operator_token_file));
  if (!file.open(QIODevice::ReadOnly)) {
    aFindings.Add({ "--operator_token_file",
                    0,
                    "",
                    "cannot be read: " + file.errorString().toStdString() });
    return {};
  }
  constexpr qint64 kMaxTokenBytes = 4096;
  std::string token = file.read(kMaxTokenBytes).trimmed().toStdString();
  const bool isPrintableAscii =
    std::all_of(token.begin(), token.end(), [](char aCharacter) {
      return aCharacter >= ' ' && aCharacter <= '~';
    });
  if (token.empty() || !isPrintableAscii) {
    aFindings.Add(
      { "--operator_token_file", 0, "", "holds no token of printable ASCII" });
  }
  return token;
}

// Another operator sees this name when a conflict is reported.
std::string
AuthorName()
{
  if (!FLAGS_author.empty()) {
    return FLAGS_author;
  }
  for (const char* variable : { "USER", "LOGNAME" }) {
    const char* name = std::getenv(variable); // NOLINT
    if (name && *name != '\0') {
      return name;
    }
  }
  return fmt::format("uid-{}", getuid());
}

} // namespace

std::optional<ToolSettings>
ToolSettings::Create(int* argc, char*** argv, Findings& aFindings)
{
  // gflags ends the process with exit code 1 on an invalid flag; in this tool,
  // that code means refused.
  GFLAGS_NAMESPACE::gflags_exitfunc = [](int aCode) {
    std::exit(aCode == 0 ? 0 : kExitUsage); // NOLINT
  };
  ReadEnvironment(aFindings);
  gflags::ParseCommandLineNonHelpFlags(argc, argv, true);

  ToolSettings settings;
  settings.arguments.assign(*argv + 1, *argv + *argc);
  if (FLAGS_help &&
      (settings.arguments.empty() || settings.arguments[0] != "help")) {
    settings.arguments.insert(settings.arguments.begin(), "help");
    settings.arguments.resize(
      std::min<std::size_t>(settings.arguments.size(), 2));
  }
  settings.options.json = FLAGS_json;
  settings.options.wait = FLAGS_wait;
  if (FLAGS_wait_timeout_s < 0) {
    aFindings.Add({ "--wait_timeout_s", 0, "", "must not be negative" });
  }
  settings.options.waitTimeout = std::chrono::seconds(FLAGS_wait_timeout_s);
  if (FLAGS_base_revision >= 0) {
    settings.options.baseRevision =
      static_cast<std::uint64_t>(FLAGS_base_revision);
  }
  settings.options.author = AuthorName();
  std::vector<std::string> texts;
  std::vector<Endpoint> endpoints;
  ReadEndpoints(
    aFindings, "--platform", FLAGS_platform, texts, settings.platform);
  ReadEndpoints(aFindings, "--admin", FLAGS_admin, settings.admin, endpoints);
  settings.operatorToken = ReadToken(aFindings);
  if (!aFindings.IsEmpty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace filbertbeam
