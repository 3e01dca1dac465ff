#pragma once

#include <QProcess>

#include <chrono>
#include <string>
#include <vector>

namespace filbertbeam::testing {

// A process under test. The destructor kills it by its process id.
class ChildProcess
{
public:
  ChildProcess(std::string aProgram,
               std::vector<std::string> aArguments,
               std::string aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Starts the process. It may be started again after it has ended.
  bool Start();
  // Sends SIGKILL and waits until the process has ended.
  void Kill();
  // Sends SIGTERM.
  void Terminate();
  // Sends SIGSTOP or SIGCONT.
  void Suspend();
  void Resume();
  // Runs the event loop until the process has ended. Returns false after the
  // timeout.
  bool WaitForEnd(std::chrono::milliseconds aTimeout);
  bool IsRunning() const;
  // Returns 0 when the process is not running.
  qint64 ProcessId() const { return process_.processId(); }
  // Valid only after the process has ended.
  int ExitCode() const { return process_.exitCode(); }
  std::string Log() const;

private:
  void Signal(int aSignal);

  const std::string program_;
  const std::vector<std::string> arguments_;
  const std::string logFile_;
  QProcess process_;
};

} // namespace filbertbeam::testing
