#include "ChildProcess.h"

#include "HttpCall.h"

#include <QFile>

#include <csignal>
#include <utility>

namespace filbertbeam::testing {

namespace {

constexpr int kEndTimeoutMs = 5'000;

} // namespace

ChildProcess::ChildProcess(std::string aProgram,
                           std::vector<std::string> aArguments,
                           std::string aLogFile)
  : program_(std::move(aProgram))
  , arguments_(std::move(aArguments))
  , logFile_(std::move(aLogFile))
{
}

ChildProcess::~ChildProcess()
{
  Kill();
}

bool
ChildProcess::Start()
{
  QStringList arguments;
  for (const std::string& argument : arguments_) {
    arguments.append(QString::fromStdString(argument));
  }
  process_.setStandardOutputFile(QString::fromStdString(logFile_),
                                 QIODevice::Append);
  process_.setStandardErrorFile(QString::fromStdString(logFile_),
                                QIODevice::Append);
  process_.start(QString::fromStdString(program_), arguments);
  return process_.waitForStarted();
}

void
ChildProcess::Kill()
{
  if (!IsRunning()) {
    return;
  }
  Signal(SIGKILL);
  process_.waitForFinished(kEndTimeoutMs);
}

void
ChildProcess::Terminate()
{
  Signal(SIGTERM);
}

void
ChildProcess::Suspend()
{
  Signal(SIGSTOP);
}

void
ChildProcess::Resume()
{
  Signal(SIGCONT);
}

bool
ChildProcess::WaitForEnd(std::chrono::milliseconds aTimeout)
{
  QElapsedTimer timer;
  timer.start();
  while (IsRunning()) {
    if (timer.elapsed() > aTimeout.count()) {
      return false;
    }
    RunFor(std::chrono::milliseconds(20));
  }
  return true;
}

bool
ChildProcess::IsRunning() const
{
  return process_.state() != QProcess::NotRunning;
}

std::string
ChildProcess::Log() const
{
  QFile file(QString::fromStdString(logFile_));
  if (!file.open(QIODevice::ReadOnly)) {
    return {};
  }
  return file.readAll().toStdString();
}

void
ChildProcess::Signal(int aSignal)
{
  if (process_.processId() > 0) {
    ::kill(static_cast<pid_t>(process_.processId()), aSignal);
  }
}

} // namespace filbertbeam::testing
