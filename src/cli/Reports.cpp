#include "cli/Reports.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace filbertbeam {

namespace {

using Kind = ConfigurationPublisher::OutcomeKind;

QString
ToQString(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

std::string
TextOf(const QJsonValue& aValue)
{
  return PrintableText(aValue.toString().toStdString());
}

std::uint64_t
NumberOf(const QJsonValue& aValue)
{
  // A malformed response may contain a number outside the target range, whose
  // conversion would be undefined.
  return static_cast<std::uint64_t>(std::clamp(aValue.toDouble(), 0.0, 9e15));
}

// Makes each column as wide as its widest cell; the first row is the heading.
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths(aRows.front().size());
  for (const std::vector<std::string>& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
  }
  return text;
}

std::string
FormatWindow(std::uint64_t aSeconds)
{
  if (aSeconds % 3600 == 0 && aSeconds > 0) {
    return fmt::format("{} h", aSeconds / 3600);
  }
  if (aSeconds % 60 == 0 && aSeconds > 0) {
    return fmt::format("{} min", aSeconds / 60);
  }
  return fmt::format("{} s", aSeconds);
}

} // namespace

std::string
PrintableText(std::string_view aText)
{
  std::string text;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (code < ' ' || code == 0x7f) {
      text += fmt::format("\\x{:02x}", code);
    } else {
      text += character;
    }
  }
  return text;
}

std::string
FormatJson(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Indented).toStdString();
}

QJsonObject
FindingsToJson(const Findings& aFindings)
{
  QJsonArray items;
  for (const Finding& finding : aFindings.Items()) {
    items.append(QJsonObject{ { "source", ToQString(finding.source) },
                              { "line", finding.line },
                              { "field", ToQString(finding.field) },
                              { "message", ToQString(finding.message) } });
  }
  return QJsonObject{ { "findings", items } };
}

std::string
FormatChanges(const std::vector<ConfigurationChange>& aChanges)
{
  if (aChanges.empty()) {
    return "no changes\n";
  }
  std::string text;
  for (const ConfigurationChange& change : aChanges) {
    const char* sign = change.kind == ChangeKind::Added     ? "+"
                       : change.kind == ChangeKind::Removed ? "-"
                                                            : "~";
    text += fmt::format("{} {} {}", sign, change.what, change.name);
    const char* separator = ": ";
    for (const FieldChange& field : change.fields) {
      text += fmt::format(
        "{}{} {} -> {}", separator, field.field, field.before, field.after);
      separator = "; ";
    }
    text += '\n';
  }
  return text;
}

QJsonObject
ChangesToJson(const std::vector<ConfigurationChange>& aChanges)
{
  QJsonArray items;
  for (const ConfigurationChange& change : aChanges) {
    QJsonArray fields;
    for (const FieldChange& field : change.fields) {
      fields.append(QJsonObject{ { "field", ToQString(field.field) },
                                 { "before", ToQString(field.before) },
                                 { "after", ToQString(field.after) } });
    }
    const char* kind = change.kind == ChangeKind::Added     ? "added"
                       : change.kind == ChangeKind::Removed ? "removed"
                                                            : "changed";
    items.append(QJsonObject{ { "change", kind },
                              { "what", ToQString(change.what) },
                              { "name", ToQString(change.name) },
                              { "fields", fields } });
  }
  return QJsonObject{ { "changes", items } };
}

std::string
FormatOutcome(const ConfigurationPublisher::Outcome& aOutcome)
{
  const std::string reason = PrintableText(aOutcome.reason);
  switch (aOutcome.kind) {
    case Kind::Accepted:
      return fmt::format("revision {} is accepted\n", aOutcome.revision);
    case Kind::Conflict:
      return fmt::format("conflict: {}; nothing was changed. \"filbertbeam "
                         "diff\" shows what differs now\n",
                         reason);
    case Kind::Refused:
      return fmt::format("refused: {}; nothing was changed\n", reason);
    case Kind::Unavailable:
      return fmt::format("cannot reach the store: {}; nothing was changed\n",
                         reason);
    case Kind::Unknown:
      break;
  }
  return fmt::format("unknown whether revision {} was accepted: {}. "
                     "\"filbertbeam show\" tells once the store answers\n",
                     aOutcome.revision,
                     reason);
}

QJsonObject
OutcomeToJson(const ConfigurationPublisher::Outcome& aOutcome)
{
  const char* outcome = "unknown";
  switch (aOutcome.kind) {
    case Kind::Accepted:
      outcome = "accepted";
      break;
    case Kind::Conflict:
      outcome = "conflict";
      break;
    case Kind::Refused:
      outcome = "refused";
      break;
    case Kind::Unavailable:
      outcome = "unavailable";
      break;
    case Kind::Unknown:
      break;
  }
  return QJsonObject{ { "outcome", outcome },
                      { "revision", static_cast<qint64>(aOutcome.revision) },
                      { "other_author", ToQString(aOutcome.otherAuthor) },
                      { "reason", ToQString(aOutcome.reason) } };
}

std::string
FormatStatus(const QJsonObject& aStatus)
{
  std::string text = fmt::format(
    "{}: revision {}", TextOf(aStatus["host"]), NumberOf(aStatus["revision"]));
  if (aStatus.contains("ready")) {
    text += aStatus["ready"].toBool() ? ", ready" : ", not ready";
  }
  text += '\n';
  std::vector<std::vector<std::string>> rows{
    { "HOST", "DOMAIN", "STATE", "REVISION" }
  };
  std::map<std::string, int> states;
  for (const QJsonValue value : aStatus["hosts"].toArray()) {
    const QJsonObject host = value.toObject();
    rows.push_back({ TextOf(host["host"]),
                     TextOf(host["domain"]),
                     TextOf(host["state"]),
                     fmt::format("{}", NumberOf(host["revision"])) });
    ++states[TextOf(host["state"])];
  }
  text += fmt::format("{} hosts", rows.size() - 1);
  const char* separator = ": ";
  for (const auto& [state, count] : states) {
    text += fmt::format("{}{} {}", separator, count, state);
    separator = ", ";
  }
  text += '\n';
  if (rows.size() > 1) {
    text += '\n' + FormatTable(rows);
  }
  std::vector<std::vector<std::string>> serverRows{
    { "BACKEND SERVER", "STATE", "SLOTS", "EJECTIONS", "LAST REASON" }
  };
  for (const QJsonValue value : aStatus["backend_servers"].toArray()) {
    const QJsonObject server = value.toObject();
    serverRows.push_back(
      { TextOf(server["backend_server"]),
        TextOf(server["state"]),
        fmt::format(
          "{}/{}", NumberOf(server["used_slots"]), NumberOf(server["slots"])),
        fmt::format("{}", NumberOf(server["recent_ejections"])),
        TextOf(server["last_reason"]) });
  }
  if (serverRows.size() > 1) {
    text +=
      "\nbackend servers counted by this host:\n" + FormatTable(serverRows);
  }
  return text;
}

std::string
FormatExplanation(const QJsonObject& aExplanation)
{
  const QJsonArray events = aExplanation["events"].toArray();
  if (events.isEmpty()) {
    return "nothing is known\n";
  }
  std::string text;
  for (const QJsonValue value : events) {
    const QJsonObject event = value.toObject();
    text +=
      fmt::format("{}  {}\n", TextOf(event["time"]), TextOf(event["text"]));
  }
  return text;
}

std::string
FormatBurn(const QJsonObject& aBurn)
{
  std::vector<std::vector<std::string>> rows{ { "SERVICE",
                                                "CUSTOMER",
                                                "OBJECTIVE",
                                                "WINDOW",
                                                "REQUESTS",
                                                "FAILED",
                                                "BURN RATE" } };
  for (const QJsonValue value : aBurn["services"].toArray()) {
    const QJsonObject service = value.toObject();
    for (const QJsonValue windowValue : service["windows"].toArray()) {
      const QJsonObject window = windowValue.toObject();
      rows.push_back({ TextOf(service["service"]),
                       TextOf(service["customer"]),
                       fmt::format("{}", service["objective"].toDouble()),
                       FormatWindow(NumberOf(window["window_s"])),
                       fmt::format("{}", NumberOf(window["requests"])),
                       fmt::format("{}", NumberOf(window["failed"])),
                       fmt::format("{:.2f}", window["burn_rate"].toDouble()) });
    }
  }
  return rows.size() == 1 ? "no requests yet\n" : FormatTable(rows);
}

} // namespace filbertbeam
