#include "configuration/ConfigurationHead.h"
#include "configuration/ConfigurationReader.h"

#include <cstddef>
#include <cstdint>
#include <string>

// Fuzzes the configuration files of operators, and the configuration head that
// another host or the store sends.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  using namespace filbertbeam;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  ConfigurationReader reader;
  reader.Add("fuzz.json", text);
  reader.Finish();
  std::string reason;
  ConfigurationHead::Parse(text, reason);
  return 0;
}
