#pragma once

#include "catalog/CatalogFollower.h"
#include "directory/BackendDirectory.h"
#include "gateway/CatalogCodec.h"

namespace filbertbeam {

// Builds directories of backend servers from catalog objects. Decodes an object
// only when its version has changed.
class DirectoryBuilder
{
public:
  DirectoryBuilder(const CatalogCodec& aCodec, const Clock& aClock);

  std::shared_ptr<const BackendDirectory> Build(
    const CatalogFollower::Objects& aObjects);

private:
  struct Decoded
  {
    CatalogVersion objectVersion;
    // Empty when the object does not describe a backend server.
    std::optional<BackendServerRecord> record;
  };

  const Decoded& Decode(const CatalogObject& aObject);

  const CatalogCodec& codec_;
  const Clock& clock_;
  std::map<std::string, Decoded, std::less<>> decoded_;
  std::uint64_t revision_ = 0;
};

} // namespace filbertbeam
