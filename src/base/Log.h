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

// A key=value pair of a log line.
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

// Returns "level=info event=NAME key=value ...". Empty values and values with a
// space, a quote, a backslash, an equals sign or a control character are quoted
// and escaped.
std::string
FormatLogLine(LogLevel aLevel,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields);

// Writes one line, prefixed with the wall clock time, to standard output. Never
// blocks on the reader: a line is dropped if writing it would block or if it
// exceeds kMaxLogLinesPerSecond, and the next line that is written is preceded
// by one with the number of dropped lines. Warnings and errors are not subject
// to kMaxLogLinesPerSecond.
void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

// Lines below Warning are dropped once this many lines were written in a
// second.
inline constexpr int kMaxLogLinesPerSecond = 400;

// Sets the level below which events are not written. The default is Info.
void
SetLogLevel(LogLevel aLevel);

} // namespace filbertbeam
