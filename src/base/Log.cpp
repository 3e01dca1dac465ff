#include "base/Log.h"

#include <fmt/chrono.h>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>

namespace filbertbeam {

namespace {

std::atomic<LogLevel> minimumLevel{ LogLevel::Info };

// Limits the rate of log lines and writes them. Shared by all threads, which
// hold Mutex() during the calls.
class LogWriter
{
public:
  // Counts a line of aSecond; returns false if the line has to be dropped.
  bool TryAcquireLine(LogLevel aLevel, std::chrono::seconds aSecond)
  {
    if (aSecond != second_) {
      second_ = aSecond;
      linesThisSecond_ = 0;
    }
    if (aLevel < LogLevel::Warning &&
        linesThisSecond_ >= kMaxLogLinesPerSecond) {
      ++droppedLines_;
      return false;
    }
    ++linesThisSecond_;
    return true;
  }

  void Write(std::string_view aLine)
  {
    if (droppedLines_ > 0) {
      const std::string notice = fmt::format(
        "level=warning event=log_lines_dropped count={}\n", droppedLines_);
      if (TryWrite(notice)) {
        droppedLines_ = 0;
      }
    }
    if (!TryWrite(aLine)) {
      ++droppedLines_;
    }
  }

  std::mutex& Mutex() { return mutex_; }

private:
  // A pipe that polls as writable accepts at least this many bytes without
  // blocking.
  static constexpr std::size_t kMaxLineBytes = 4096;

  static bool TryWrite(std::string_view aLine)
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return false;
    }
    std::string line(aLine.substr(0, kMaxLineBytes));
    line.back() = '\n';
    return ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
  }

  std::mutex mutex_;
  std::chrono::seconds second_{ 0 };
  int linesThisSecond_ = 0;
  std::uint64_t droppedLines_ = 0;
};

LogWriter&
SharedLogWriter()
{
  static LogWriter writer;
  return writer;
}

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "unknown";
}

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const char character : aValue) {
    if (static_cast<unsigned char>(character) <= ' ' || character == '"' ||
        character == '=' || character == '\\') {
      return true;
    }
  }
  return false;
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine += '"';
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      aLine += '\\';
      aLine += character;
    } else if (static_cast<unsigned char>(character) < ' ') {
      aLine += fmt::format("\\x{:02x}", static_cast<unsigned>(character));
    } else {
      aLine += character;
    }
  }
  aLine += '"';
}

} // namespace

std::string
FormatLogLine(LogLevel aLevel,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields)
{
  std::string line =
    fmt::format("level={} event={}", LevelName(aLevel), aEvent);
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.key;
    line += '=';
    if (NeedsQuotes(field.value)) {
      AppendQuoted(line, field.value);
    } else {
      line += field.value;
    }
  }
  return line;
}

void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  if (aLevel < minimumLevel.load(std::memory_order_relaxed)) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds);
  LogWriter& writer = SharedLogWriter();
  const std::lock_guard lock(writer.Mutex());
  if (!writer.TryAcquireLine(aLevel, seconds.time_since_epoch())) {
    return;
  }
  const std::string line =
    fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                milliseconds.count(),
                FormatLogLine(aLevel, aEvent, aFields));
  writer.Write(line);
}

void
SetLogLevel(LogLevel aLevel)
{
  minimumLevel.store(aLevel, std::memory_order_relaxed);
}

} // namespace filbertbeam
