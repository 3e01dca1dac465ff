#pragma once

#include "base/Findings.h"
#include "cli/ConfigurationDifference.h"
#include "configuration/ConfigurationPublisher.h"

#include <QJsonObject>

#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Texts for people end with a line break and contain no control characters from
// the input, which a terminal would interpret. JSON is for programs.

// Returns indented JSON with a line break at the end.
std::string
FormatJson(const QJsonObject& aObject);

QJsonObject
FindingsToJson(const Findings& aFindings);

std::string
FormatChanges(const std::vector<ConfigurationChange>& aChanges);

QJsonObject
ChangesToJson(const std::vector<ConfigurationChange>& aChanges);

std::string
FormatOutcome(const ConfigurationPublisher::Outcome& aOutcome);

QJsonObject
OutcomeToJson(const ConfigurationPublisher::Outcome& aOutcome);

// The next three functions format responses of a daemon's admin endpoint.
std::string
FormatStatus(const QJsonObject& aStatus);

std::string
FormatExplanation(const QJsonObject& aExplanation);

std::string
FormatBurn(const QJsonObject& aBurn);

// Returns aText with each control character replaced by \x and its hexadecimal
// code.
std::string
PrintableText(std::string_view aText);

} // namespace filbertbeam
