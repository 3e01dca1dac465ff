#include "base/Log.h"

#include <fmt/chrono.h>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>

namespace filbertbeam {

namespace {

std::atomic<LogLevel> lowestLevel{ LogLevel::Info };

// Decides which lines are written. Shared by all threads.
class LogGate
{
public:
  // False for a line that has to be dropped.
  bool Admit(LogLevel aLevel, std::chrono::seconds aSecond)
  {
    if (aSecond != second_) {
      second_ = aSecond;
      lines_ = 0;
    }
    if (aLevel < LogLevel::Warning && lines_ >= kMaxLogLinesPerSecond) {
      ++dropped_;
      return false;
    }
    ++lines_;
    return true;
  }

  void Write(std::string_view aLine)
  {
    if (dropped_ > 0) {
      const std::string notice = fmt::format(
        "level=warning event=log_lines_dropped count={}\n", dropped_);
      if (TryWrite(notice)) {
        dropped_ = 0;
      }
    }
    if (!TryWrite(aLine)) {
      ++dropped_;
    }
  }

  std::mutex& Mutex() { return mutex_; }

private:
  // A pipe that polls writable takes at least this many bytes at once.
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
  int lines_ = 0;
  std::uint64_t dropped_ = 0;
};

LogGate&
Gate()
{
  static LogGate gate;
  return gate;
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
  if (aLevel < lowestLevel.load(std::memory_order_relaxed)) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds);
  LogGate& gate = Gate();
  const std::lock_guard lock(gate.Mutex());
  if (!gate.Admit(aLevel, seconds.time_since_epoch())) {
    return;
  }
  const std::string line =
    fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                milliseconds.count(),
                FormatLogLine(aLevel, aEvent, aFields));
  gate.Write(line);
}

void
SetLogLevel(LogLevel aLevel)
{
  lowestLevel.store(aLevel, std::memory_order_relaxed);
}

} // namespace filbertbeam
