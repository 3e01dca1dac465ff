#pragma once

#include <map>
#include <string>

namespace filbertbeam {

// The CPU time and memory that a process has used so far, read from /proc. All
// values are zero when the process is not running.
struct ProcessUsage
{
  static ProcessUsage Read(long long aProcessId);

  // User and system time of the process, including threads that have ended.
  double cpuSeconds = 0;
  // User and system time of the running threads by thread name. Threads of the
  // same name are summed; the main thread is named "control".
  std::map<std::string, double> cpuSecondsByThread;
  // VmRSS and RssAnon of /proc/PID/status.
  long residentKib = 0;
  long anonymousKib = 0;
};

} // namespace filbertbeam
