#include "base/Log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace filbertbeam {

namespace {

std::atomic<LogLevel> lowestLevel{ LogLevel::Info };

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
  // One write per line keeps lines of several threads apart.
  const std::string line =
    fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                milliseconds.count(),
                FormatLogLine(aLevel, aEvent, aFields));
  std::fwrite(line.data(), 1, line.size(), stderr);
}

void
SetLogLevel(LogLevel aLevel)
{
  lowestLevel.store(aLevel, std::memory_order_relaxed);
}

} // namespace filbertbeam
