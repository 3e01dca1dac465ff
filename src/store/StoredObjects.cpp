#include "store/StoredObjects.h"

#include <fmt/format.h>

namespace filbertbeam {

StoreResult<StoredObject>
StoredObjects::Get(std::string_view aKey) const
{
  if (!IsValidObjectKey(aKey)) {
    return { {}, StoreError::Invalid, "invalid key" };
  }
  const auto found = objects_.find(aKey);
  if (found == objects_.end()) {
    return { {}, StoreError::NotFound, "no such object" };
  }
  return { found->second, StoreError::None, {} };
}

StoreResult<std::uint64_t>
StoredObjects::Create(std::string_view aKey, std::string_view aValue)
{
  return Write(aKey, aValue, 0);
}

StoreResult<std::uint64_t>
StoredObjects::Update(std::string_view aKey,
                      std::string_view aValue,
                      std::uint64_t aExpectedVersion)
{
  if (aExpectedVersion == 0) {
    return { {},
             StoreError::Invalid,
             "the expected version of an object must not be 0" };
  }
  return Write(aKey, aValue, aExpectedVersion);
}

StoreResult<std::vector<std::string>>
StoredObjects::List(std::string_view aPrefix) const
{
  if (!IsValidObjectPrefix(aPrefix)) {
    return { {}, StoreError::Invalid, "invalid prefix" };
  }
  std::vector<std::string> keys;
  for (auto next = objects_.lower_bound(aPrefix);
       next != objects_.end() && next->first.starts_with(aPrefix);
       ++next) {
    keys.push_back(next->first);
  }
  return { std::move(keys), StoreError::None, {} };
}

int
StoredObjects::AddListener(Listener aListener)
{
  listeners_.emplace(nextListenerId_, std::move(aListener));
  return nextListenerId_++;
}

void
StoredObjects::RemoveListener(int aListenerId)
{
  listeners_.erase(aListenerId);
}

StoreResult<std::uint64_t>
StoredObjects::Write(std::string_view aKey,
                     std::string_view aValue,
                     std::uint64_t aExpectedVersion)
{
  if (!IsValidObjectKey(aKey)) {
    return { {}, StoreError::Invalid, "invalid key" };
  }
  if (aValue.size() > kMaxObjectBytes) {
    return { {},
             StoreError::Invalid,
             fmt::format("value of {} bytes exceeds the limit of {} bytes",
                         aValue.size(),
                         kMaxObjectBytes) };
  }
  const auto found = objects_.find(aKey);
  const std::uint64_t version =
    found == objects_.end() ? 0 : found->second.version;
  if (version != aExpectedVersion) {
    return { {},
             StoreError::Conflict,
             fmt::format(
               "version is {}, expected {}", version, aExpectedVersion) };
  }
  const StoredObject object{ std::string(aKey),
                             std::string(aValue),
                             ++revision_ };
  objects_.insert_or_assign(object.key, object);
  for (const auto& [id, listener] : listeners_) {
    listener(object);
  }
  return { object.version, StoreError::None, {} };
}

} // namespace filbertbeam
