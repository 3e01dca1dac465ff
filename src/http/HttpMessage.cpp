#include "http/HttpMessage.h"

namespace filbertbeam {

std::string_view
ToString(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::None:
      return "none";
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::UntilClose:
      return "until-close";
  }
  return "";
}

} // namespace filbertbeam
