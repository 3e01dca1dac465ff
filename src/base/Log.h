#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace filbertbeam {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

// One key=value pair of a log line.
struct LogField
{
  template<typename Value>
  LogField(std::string_view aKey, const Value& aValue)
    : key(aKey)
    , value(fmt::format("{}", aValue))
  {
  }

  std::string_view key;
  std::string value;
};

// Returns "level=info event=NAME key=value ..."; values with a space, a quote,
// an equals sign or a control character are quoted and escaped.
std::string
FormatLogLine(LogLevel aLevel,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields);

// Writes one line, with the wall time in front, to standard output. Never waits
// for its reader: a line that the reader has no room for, or that exceeds the
// number allowed per second, is dropped, and the next line written says how
// many were. Warnings and errors are not counted against that number.
void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

// Lines below Warning that are written per second at most.
inline constexpr int kMaxLogLinesPerSecond = 400;

// Events below this level are not written; Info at start.
void
SetLogLevel(LogLevel aLevel);

} // namespace filbertbeam
