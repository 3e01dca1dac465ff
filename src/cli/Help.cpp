#include "cli/Help.h"

#include <fmt/format.h>

namespace filbertbeam {

namespace {

struct CommandHelp
{
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
  std::string_view details;
};

constexpr CommandHelp kCommands[] = {
  { "validate",
    "FILE...",
    "check configuration files",
    "Reports all findings with file, line and field. Several files are read\n"
    "as one configuration. Needs no store.\n"
    "\n"
    "Examples:\n"
    "  filbertbeam validate fleet.json\n"
    "  filbertbeam validate services.json contracts.json --json\n" },
  { "diff",
    "FILE...",
    "show what applying files would change",
    "Compares the files with the accepted configuration: + added, - removed,\n"
    "~ changed.\n"
    "\n"
    "Example:\n"
    "  filbertbeam diff fleet.json --platform=10.0.0.5:9000\n" },
  { "apply",
    "FILE... [--wait] [--base_revision=N]",
    "make files the configuration of the fleet",
    "Replaces the whole configuration, on the condition that nobody else\n"
    "changes it meanwhile. With --base_revision, it also refuses when the\n"
    "accepted revision is not the one that the files were made from. With\n"
    "--wait, it says on how many live hosts the revision is in force.\n"
    "\n"
    "Examples:\n"
    "  filbertbeam apply fleet.json --platform=10.0.0.5:9000\n"
    "  filbertbeam apply fleet.json --base_revision=41 --wait \\\n"
    "    --admin=10.0.1.1:8083 --operator_token_file=operator.token\n" },
  { "show",
    "",
    "print the accepted configuration",
    "Prints it in the form that apply reads; revision, author and time go to\n"
    "standard error.\n"
    "\n"
    "Example:\n"
    "  filbertbeam show > fleet.json\n" },
  { "mark",
    "SERVICE BACKEND_SERVER leaving|entering",
    "take a backend server out of service, or back",
    "A leaving backend server gets no new work, and running requests finish.\n"
    "Other changes made at the same time are kept; a change of the same\n"
    "backend server is a conflict.\n"
    "\n"
    "Example:\n"
    "  filbertbeam mark permits permit-7 leaving\n" },
  { "hash-key",
    "",
    "print the SHA-256 of an API key for a contract",
    "Reads the key from standard input, so that it appears in no list of\n"
    "processes. A line break at its end is not part of it.\n"
    "\n"
    "Example:\n"
    "  filbertbeam hash-key < key.txt\n" },
  { "status",
    "",
    "show the hosts and the revision on each",
    "Example:\n"
    "  filbertbeam status --admin=10.0.1.1:8083 \\\n"
    "    --operator_token_file=operator.token\n" },
  { "explain",
    "customer|backend-server|request ID",
    "say why something was refused, ejected or marked",
    "Examples:\n"
    "  filbertbeam explain customer acme\n"
    "  filbertbeam explain backend-server permit-7\n"
    "  filbertbeam explain request 4f1c9a\n" },
  { "burn",
    "",
    "show how fast services use up their error budget",
    "A burn rate of 1 uses up the whole budget of the objective exactly.\n"
    "\n"
    "Example:\n"
    "  filbertbeam burn --json\n" },
};

constexpr std::string_view kFlags =
  "Flags (each also as an environment variable, for example\n"
  "FILBERTBEAM_PLATFORM for --platform):\n"
  "  --platform=IP:PORT[,...]      the platform's object store\n"
  "  --admin=IP:PORT[,...]         admin endpoint of a daemon; the next one "
  "is\n"
  "                                asked where one cannot be reached\n"
  "  --operator_token_file=FILE    token for the admin endpoint\n"
  "  --author=NAME                 recorded with a revision; your user name "
  "by\n"
  "                                default\n"
  "  --json                        output for programs\n"
  "  --wait, --wait_timeout_s=30   see \"filbertbeam help apply\"\n"
  "  --base_revision=N             see \"filbertbeam help apply\"\n"
  "\n"
  "Exit codes: 0 done; 1 refused, findings or a conflict; 2 wrong usage;\n"
  "3 the store or the daemon cannot be reached.\n";

} // namespace

std::vector<std::string_view>
CommandNames()
{
  std::vector<std::string_view> names;
  for (const CommandHelp& command : kCommands) {
    names.push_back(command.name);
  }
  return names;
}

std::string
HelpText(std::string_view aCommand)
{
  if (aCommand.empty()) {
    std::string text =
      "filbertbeam: the operators' tool of a filbertbeam fleet\n"
      "\n"
      "Usage: filbertbeam SUBCOMMAND ARGUMENTS... [FLAGS...]\n"
      "\n";
    for (const CommandHelp& command : kCommands) {
      text += fmt::format("  {:<10} {}\n", command.name, command.summary);
    }
    text += "\n\"filbertbeam help SUBCOMMAND\" shows arguments and examples.\n";
    return text + '\n' + std::string(kFlags);
  }
  for (const CommandHelp& command : kCommands) {
    if (command.name == aCommand) {
      std::string usage = fmt::format(
        "Usage: filbertbeam {} {}", command.name, command.arguments);
      usage.erase(usage.find_last_not_of(' ') + 1);
      return fmt::format("{}\n\n{}\n", usage, command.details) +
             std::string(kFlags);
    }
  }
  return {};
}

} // namespace filbertbeam
