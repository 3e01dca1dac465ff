#pragma once

#include <map>
#include <string>

namespace filbertbeam {

// What a process has used so far, read from /proc. All zero when the process
// is not running.
struct ProcessUsage
{
  static ProcessUsage Read(long long aProcessId);

  // User and system time of the process, with threads that ended.
  double cpuSeconds = 0;
  // The same for running threads, by thread name; threads of one name are
  // summed, and the main thread is "control".
  std::map<std::string, double> cpuSecondsByThread;
  // VmRSS and RssAnon.
  long residentKib = 0;
  long anonymousKib = 0;
};

} // namespace filbertbeam
