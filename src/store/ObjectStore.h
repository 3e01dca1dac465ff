#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

struct StoredObject
{
  std::string key;
  std::string value;
  // Grows with every write of the object; above 0.
  std::uint64_t version = 0;
};

enum class StoreError
{
  None,
  NotFound,
  // The condition of a write did not hold; nothing was changed by this call.
  Conflict,
  // No usable response came. A write may or may not have taken effect.
  Unavailable,
  // The request itself is at fault, for example a value of over 1 MB.
  Invalid,
};

template<typename Value>
struct StoreResult
{
  std::optional<Value> value;
  StoreError error = StoreError::None;
  // The last reason, for logs and operators.
  std::string reason;
  // With Unavailable: no byte of the request left this process, so a write has
  // certainly not taken effect.
  bool isUnsent = false;
};

// Values above this size are refused as Invalid. The platform takes objects of
// 1 MiB; a value takes four thirds of its size there.
inline constexpr std::size_t kMaxObjectBytes = 750'000;
// Keys above this length are refused as Invalid.
inline constexpr std::size_t kMaxObjectKeyBytes = 512;

// True for a key that every store accepts: 1 to kMaxObjectKeyBytes of letters,
// digits and "-._~:@=+/".
bool
IsValidObjectKey(std::string_view aKey);

// The same for the prefix of a listing, which may be empty.
bool
IsValidObjectPrefix(std::string_view aPrefix);

// The platform's object store. Calls never block; callbacks come from the
// event loop of the calling thread, never during the call, and exactly once
// unless the store object is destroyed before.
class ObjectStore
{
public:
  using ObjectCallback = std::function<void(const StoreResult<StoredObject>&)>;
  using VersionCallback =
    std::function<void(const StoreResult<std::uint64_t>&)>;
  using ListCallback =
    std::function<void(const StoreResult<std::vector<std::string>>&)>;

  virtual ~ObjectStore() = default;

  virtual void Get(std::string_view aKey, ObjectCallback aCallback) = 0;

  // Creates an object that must not exist yet. The result is its version.
  virtual void Create(std::string_view aKey,
                      std::string_view aValue,
                      VersionCallback aCallback) = 0;

  // Replaces an object that must have the given version; Conflict also when
  // the object does not exist.
  virtual void Update(std::string_view aKey,
                      std::string_view aValue,
                      std::uint64_t aExpectedVersion,
                      VersionCallback aCallback) = 0;

  // Waits until the object has a version above aAfterVersion, at most
  // aTimeout; then answers as Get. NotFound after the timeout means that the
  // object does not exist.
  virtual void Watch(std::string_view aKey,
                     std::uint64_t aAfterVersion,
                     std::chrono::milliseconds aTimeout,
                     ObjectCallback aCallback) = 0;

  // Keys that start with aPrefix, in order.
  virtual void List(std::string_view aPrefix, ListCallback aCallback) = 0;
};

} // namespace filbertbeam
