#pragma once

#include "store/ObjectStore.h"

#include <map>

namespace filbertbeam {

// The objects of one or more MemoryObjectStore instances. Applies conditional
// writes immediately and notifies its listeners of every change.
class StoredObjects
{
public:
  using Listener = std::function<void(const StoredObject&)>;

  StoreResult<StoredObject> Get(std::string_view aKey) const;
  StoreResult<std::uint64_t> Create(std::string_view aKey,
                                    std::string_view aValue);
  StoreResult<std::uint64_t> Update(std::string_view aKey,
                                    std::string_view aValue,
                                    std::uint64_t aExpectedVersion);
  StoreResult<std::vector<std::string>> List(std::string_view aPrefix) const;

  // Returns an ID for RemoveListener. A listener must not add or remove
  // listeners.
  int AddListener(Listener aListener);
  void RemoveListener(int aListenerId);

private:
  StoreResult<std::uint64_t> Write(std::string_view aKey,
                                   std::string_view aValue,
                                   std::uint64_t aExpectedVersion);

  std::map<std::string, StoredObject, std::less<>> objects_;
  // Increases with every write of any object, like the platform's revision.
  std::uint64_t revision_ = 0;
  std::map<int, Listener> listeners_;
  int nextListenerId_ = 1;
};

} // namespace filbertbeam
