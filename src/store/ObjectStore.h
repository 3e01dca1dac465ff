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
  // Increases with every write of the object; at least 1.
  std::uint64_t version = 0;
};

enum class StoreError
{
  None,
  NotFound,
  // The condition of a write did not hold; the call changed nothing.
  Conflict,
  // No usable response was received. A write may or may not have taken effect.
  Unavailable,
  // The request itself is invalid, for example because of a value that exceeds
  // kMaxObjectBytes.
  Invalid,
};

template<typename Value>
struct StoreResult
{
  std::optional<Value> value;
  StoreError error = StoreError::None;
  // Describes the last failure, for logs and operators.
  std::string reason;
  // With Unavailable: no byte of the request was sent, so a write has certainly
  // not taken effect.
  bool isUnsent = false;
};

// Larger values are refused as Invalid. The platform accepts objects of up to
// 1 MiB and a value is stored as base64, at four thirds of its size.
inline constexpr std::size_t kMaxObjectBytes = 750'000;
// Longer keys are refused as Invalid.
inline constexpr std::size_t kMaxObjectKeyBytes = 512;

// Returns whether every store accepts the key: it has 1 to kMaxObjectKeyBytes
// characters, which are ASCII letters, digits or one of "-._~:@=+/".
bool
IsValidObjectKey(std::string_view aKey);

// Returns the same for the prefix of a listing, which may be empty.
bool
IsValidObjectPrefix(std::string_view aPrefix);

// Client interface of the platform's object store. Calls never block. The event
// loop of the calling thread runs each callback exactly once and never during
// the call, unless the store object is destroyed first.
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

  // Creates an object that must not exist yet. Returns its version.
  virtual void Create(std::string_view aKey,
                      std::string_view aValue,
                      VersionCallback aCallback) = 0;

  // Replaces the value of an object that must have the given version. Returns
  // the new version, or Conflict also when the object does not exist.
  virtual void Update(std::string_view aKey,
                      std::string_view aValue,
                      std::uint64_t aExpectedVersion,
                      VersionCallback aCallback) = 0;

  // Waits until the object has a version above aAfterVersion, for at most
  // aTimeout, and then returns the same result as Get. NotFound after the
  // timeout means that the object does not exist.
  virtual void Watch(std::string_view aKey,
                     std::uint64_t aAfterVersion,
                     std::chrono::milliseconds aTimeout,
                     ObjectCallback aCallback) = 0;

  // Returns the keys that start with aPrefix, in ascending order.
  virtual void List(std::string_view aPrefix, ListCallback aCallback) = 0;
};

} // namespace filbertbeam
