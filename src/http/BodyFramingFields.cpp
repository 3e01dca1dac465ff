#include "http/BodyFramingFields.h"

#include "http/ConnectionFields.h"

#include <charconv>

namespace filbertbeam {

std::optional<BodyFramingFields>
ReadBodyFraming(const HttpFields& aFields, std::string& aReason)
{
  BodyFramingFields result;
  int lengths = 0;
  int chunkedCodings = 0;
  int transferEncodings = 0;
  for (const HttpField& field : aFields.All()) {
    if (EqualsIgnoringCase(field.name, "Content-Length")) {
      ++lengths;
      const char* const end = field.value.data() + field.value.size();
      const auto [parsedTo, error] =
        std::from_chars(field.value.data(), end, result.contentLength);
      if (error != std::errc() || parsedTo != end) {
        aReason = "the Content-Length is malformed";
        return std::nullopt;
      }
    } else if (EqualsIgnoringCase(field.name, "Transfer-Encoding")) {
      ++transferEncodings;
      for (const std::string_view coding : SplitList(field.value)) {
        if (EqualsIgnoringCase(coding, "chunked")) {
          ++chunkedCodings;
        } else {
          result.unknownCoding = true;
        }
      }
    }
  }
  if (lengths > 1) {
    aReason = "the Content-Length is repeated";
    return std::nullopt;
  }
  if (lengths > 0 && transferEncodings > 0) {
    aReason = "Content-Length and Transfer-Encoding exclude each other";
    return std::nullopt;
  }
  if (chunkedCodings > 1 ||
      (transferEncodings > 0 && chunkedCodings == 0 && !result.unknownCoding)) {
    aReason = "the Transfer-Encoding is malformed";
    return std::nullopt;
  }
  if (lengths > 0) {
    result.framing = BodyFraming::Length;
  } else if (chunkedCodings > 0) {
    result.framing = BodyFraming::Chunked;
  }
  return result;
}

} // namespace filbertbeam
