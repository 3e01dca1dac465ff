#include "http/StrayBytes.h"

namespace filbertbeam {

std::string_view
ToString(StrayBytesPlace aPlace)
{
  switch (aPlace) {
    case StrayBytesPlace::Idle:
      return "idle";
    case StrayBytesPlace::BeforeResponse:
      return "before-response";
    case StrayBytesPlace::WithinResponse:
      return "within-response";
    case StrayBytesPlace::AfterResponse:
      return "after-response";
  }
  return "";
}

} // namespace filbertbeam
