#include "ProcessUsage.h"

#include <fmt/format.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace filbertbeam {

namespace {

struct Stat
{
  std::string name;
  double cpuSeconds = 0;
};

// Reads the name and CPU time from a "stat" file. The name is in parentheses
// and may contain spaces, so the other fields are counted from the last
// parenthesis.
Stat
ReadStat(const std::string& aPath)
{
  constexpr int kFieldsBeforeTimes = 11;
  std::ifstream file(aPath);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  const auto open = text.find('(');
  const auto close = text.rfind(')');
  if (open == std::string::npos || close == std::string::npos) {
    return {};
  }
  std::istringstream fields(text.substr(close + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double userTicks = 0;
  double systemTicks = 0;
  fields >> userTicks >> systemTicks;
  return { text.substr(open + 1, close - open - 1),
           (userTicks + systemTicks) /
             static_cast<double>(sysconf(_SC_CLK_TCK)) };
}

} // namespace

ProcessUsage
ProcessUsage::Read(long long aProcessId)
{
  ProcessUsage usage;
  const std::string folder = fmt::format("/proc/{}", aProcessId);
  usage.cpuSeconds = ReadStat(folder + "/stat").cpuSeconds;
  std::error_code error;
  for (const auto& task :
       std::filesystem::directory_iterator(folder + "/task", error)) {
    const Stat stat = ReadStat(task.path().string() + "/stat");
    const bool isMain = task.path().filename() == std::to_string(aProcessId);
    usage.cpuSecondsByThread[isMain ? "control" : stat.name] += stat.cpuSeconds;
  }
  std::ifstream status(folder + "/status");
  std::string name;
  std::string rest;
  while (status >> name && std::getline(status, rest)) {
    if (name == "VmRSS:") {
      usage.residentKib = std::stol(rest);
    } else if (name == "RssAnon:") {
      usage.anonymousKib = std::stol(rest);
    }
  }
  return usage;
}

} // namespace filbertbeam
