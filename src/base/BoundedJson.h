#pragma once

#include <QJsonObject>

#include <string_view>

namespace filbertbeam {

// Parses a JSON object that several writers have contributed to. A value that
// the parser cannot represent becomes null, so that it does not hide the
// others: one that is nested too deeply or a number out of range. Bytes that
// are not UTF-8 become replacement characters. Returns an empty object when the
// text is still not a JSON object.
QJsonObject
ParseBoundedJson(std::string_view aText);

} // namespace filbertbeam
