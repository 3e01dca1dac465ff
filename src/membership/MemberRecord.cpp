#include "membership/MemberRecord.h"

#include "base/Digest.h"

namespace filbertbeam {

std::uint64_t
HostId(std::string_view aHost)
{
  return StableHash(aHost);
}

} // namespace filbertbeam
