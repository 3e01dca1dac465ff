#include "relay/RelayFields.h"

#include <QByteArrayView>

#include <string>
#include <vector>

namespace filbertbeam {

void
StripRelayFields(HttpFields& aFields)
{
  std::vector<std::string> names;
  for (const HttpField& field : aFields.All()) {
    const std::string_view name = field.name;
    if (name.size() < kRelayFieldPrefix.size()) {
      continue;
    }
    const std::string_view prefix = name.substr(0, kRelayFieldPrefix.size());
    if (QByteArrayView(prefix.data(), static_cast<qsizetype>(prefix.size()))
          .compare(
            QByteArrayView(kRelayFieldPrefix.data(),
                           static_cast<qsizetype>(kRelayFieldPrefix.size())),
            Qt::CaseInsensitive) == 0) {
      names.emplace_back(name);
    }
  }
  for (const std::string& name : names) {
    aFields.Remove(name);
  }
}

} // namespace filbertbeam
