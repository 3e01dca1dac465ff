#pragma once

#include <QProcess>

#include <chrono>
#include <string>
#include <vector>

namespace filbertbeam::testing {

// A process under test. It is killed, by its id, when the object goes away.
class ChildProcess
{
public:
  ChildProcess(std::string aProgram,
               std::vector<std::string> aArguments,
               std::string aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Starts it, again where it ended before.
  bool Start();
  // SIGKILL and the end of the process.
  void Kill();
  // SIGTERM.
  void Terminate();
  // SIGSTOP and SIGCONT.
  void Suspend();
  void Resume();
  // Runs the event loop until the process ended; false after the timeout.
  bool WaitForEnd(std::chrono::milliseconds aTimeout);
  bool IsRunning() const;
  // 0 when it is not running.
  qint64 ProcessId() const { return process_.processId(); }
  // Meaningful after the end.
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
