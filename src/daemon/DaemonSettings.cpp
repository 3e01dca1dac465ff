#include "daemon/DaemonSettings.h"

#include "http/EndpointText.h"

#include <gflags/gflags.h>

#include <QFile>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

DEFINE_string(host, "", "Name of this host; unique in the fleet");
DEFINE_string(region, "", "Region of this host");
DEFINE_string(domain, "", "Failure domain of this host");
DEFINE_string(caller_address, "", "IP:PORT that callers connect to");
DEFINE_string(relay_address, "", "IP:PORT for requests from other hosts");
DEFINE_string(control_address, "", "IP:PORT for control messages");
DEFINE_string(admin_address, "", "IP:PORT for operators and the balancer");
DEFINE_string(platform, "", "IP:PORT[,IP:PORT...] of the platform's services");
DEFINE_string(fleet_secret_file, "", "File with the secret of the fleet");
DEFINE_string(operator_token_file, "", "File with the token of operators");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace filbertbeam {

namespace {

constexpr std::array<const char*, 11> kFlagNames{
  "host",
  "region",
  "domain",
  "caller_address",
  "relay_address",
  "control_address",
  "admin_address",
  "platform",
  "fleet_secret_file",
  "operator_token_file",
  "log_level",
};

// A shorter secret could be guessed.
constexpr std::size_t kMinSecretBytes = 16;

// Flags given on the command line take precedence over the environment.
void
ReadEnvironment()
{
  for (const char* name : kFlagNames) {
    std::string variable = "FILBERTBEAM_";
    for (const char* letter = name; *letter != '\0'; ++letter) {
      variable +=
        static_cast<char>(std::toupper(static_cast<unsigned char>(*letter)));
    }
    // The environment is read before the first thread starts.
    const char* value = std::getenv(variable.c_str()); // NOLINT
    if (value) {
      gflags::SetCommandLineOptionWithMode(
        name, value, gflags::SET_FLAGS_DEFAULT);
    }
  }
}

void
Require(Findings& aFindings, const char* aFlag, const std::string& aValue)
{
  if (aValue.empty()) {
    aFindings.Add({ std::string("--") + aFlag, 0, "", "is not set" });
  }
}

// Names are part of signatures and shard keys, which use other characters as
// separators.
void
CheckName(Findings& aFindings, const char* aFlag, const std::string& aValue)
{
  const bool isValid = std::ranges::all_of(aValue, [](unsigned char aLetter) {
    return std::isalnum(aLetter) || aLetter == '-' || aLetter == '.' ||
           aLetter == '_';
  });
  if (!isValid) {
    aFindings.Add({ std::string("--") + aFlag,
                    0,
                    "",
                    "has a character other than letters, digits, '-', '.' "
                    "and '_'" });
  }
}

Endpoint
ReadEndpoint(Findings& aFindings, const char* aFlag, const std::string& aText)
{
  std::string reason;
  const std::optional<Endpoint> endpoint = ParseEndpoint(aText, reason);
  if (!endpoint) {
    aFindings.Add({ std::string("--") + aFlag, 0, "", reason });
    return {};
  }
  return *endpoint;
}

std::string
ReadSecret(Findings& aFindings, const char* aFlag, const std::string& aPath)
{
  const std::string source = std::string("--") + aFlag;
  if (aPath.empty()) {
    aFindings.Add({ source, 0, "", "is not set" });
    return {};
  }
  QFile file(QString::fromStdString(aPath));
  if (!file.open(QIODevice::ReadOnly)) {
    aFindings.Add(
      { source, 0, "", "cannot be read: " + file.errorString().toStdString() });
    return {};
  }
  std::string secret = file.readAll().trimmed().toStdString();
  if (secret.size() < kMinSecretBytes) {
    aFindings.Add({ source, 0, "", "holds fewer than 16 bytes" });
  }
  return secret;
}

std::vector<Endpoint>
ReadEndpoints(Findings& aFindings, const char* aFlag, const std::string& aText)
{
  std::vector<Endpoint> endpoints;
  const QStringList parts =
    QString::fromStdString(aText).split(',', Qt::SkipEmptyParts);
  for (const QString& part : parts) {
    endpoints.push_back(
      ReadEndpoint(aFindings, aFlag, part.trimmed().toStdString()));
  }
  if (endpoints.empty()) {
    aFindings.Add({ std::string("--") + aFlag, 0, "", "is not set" });
  }
  return endpoints;
}

std::optional<LogLevel>
ParseLogLevel(const std::string& aText)
{
  constexpr std::array<std::pair<const char*, LogLevel>, 4> kLevels{
    { { "debug", LogLevel::Debug },
      { "info", LogLevel::Info },
      { "warning", LogLevel::Warning },
      { "error", LogLevel::Error } }
  };
  for (const auto& [name, level] : kLevels) {
    if (aText == name) {
      return level;
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<DaemonSettings>
DaemonSettings::Create(int* argc, char*** argv, Findings& aFindings)
{
  gflags::SetUsageMessage(
    "the daemon of a filbertbeam entry host\n"
    "Every flag may also be given as an environment variable, for example\n"
    "FILBERTBEAM_HOST for --host. Example:\n"
    "  filbertbeamd --host=entry-1 --region=tt-north --domain=piarco \\\n"
    "    --caller_address=127.0.0.1:8080 --relay_address=127.0.0.1:8081 \\\n"
    "    --control_address=127.0.0.1:8082 --admin_address=127.0.0.1:8083 \\\n"
    "    --platform=127.0.0.1:9000 --fleet_secret_file=fleet.secret \\\n"
    "    --operator_token_file=operator.token");
  ReadEnvironment();
  gflags::ParseCommandLineFlags(argc, argv, true);
  for (int i = 1; i < *argc; ++i) {
    aFindings.Add({ (*argv)[i], 0, "", "is no flag of this program" });
  }

  DaemonSettings settings;
  settings.host = FLAGS_host;
  settings.region = FLAGS_region;
  settings.domain = FLAGS_domain;
  Require(aFindings, "host", FLAGS_host);
  Require(aFindings, "region", FLAGS_region);
  Require(aFindings, "domain", FLAGS_domain);
  CheckName(aFindings, "host", FLAGS_host);
  CheckName(aFindings, "region", FLAGS_region);
  CheckName(aFindings, "domain", FLAGS_domain);
  settings.caller =
    ReadEndpoint(aFindings, "caller_address", FLAGS_caller_address);
  settings.relay =
    ReadEndpoint(aFindings, "relay_address", FLAGS_relay_address);
  settings.control =
    ReadEndpoint(aFindings, "control_address", FLAGS_control_address);
  settings.admin =
    ReadEndpoint(aFindings, "admin_address", FLAGS_admin_address);
  settings.platform = ReadEndpoints(aFindings, "platform", FLAGS_platform);
  settings.fleetSecret =
    ReadSecret(aFindings, "fleet_secret_file", FLAGS_fleet_secret_file);
  settings.operatorToken =
    ReadSecret(aFindings, "operator_token_file", FLAGS_operator_token_file);
  const std::optional<LogLevel> level = ParseLogLevel(FLAGS_log_level);
  if (!level) {
    aFindings.Add(
      { "--log_level", 0, "", "is none of debug, info, warning, error" });
  }
  settings.logLevel = level.value_or(LogLevel::Info);
  if (!aFindings.IsEmpty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace filbertbeam
