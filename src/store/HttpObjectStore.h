#pragma once

#include "store/ObjectStore.h"
#include "store/PlatformClient.h"

namespace filbertbeam {

// The platform's object store over HTTP (docs/platform-protocol.md). Sends
// every call once.
class HttpObjectStore final : public ObjectStore
{
public:
  // Null, with a reason, when the endpoints are at fault.
  static std::unique_ptr<HttpObjectStore> Create(
    std::vector<Endpoint> aEndpoints,
    const PlatformClientLimits& aLimits,
    std::string& aReason);

  explicit HttpObjectStore(std::unique_ptr<PlatformClient> aClient);

  void Get(std::string_view aKey, ObjectCallback aCallback) override;
  void Create(std::string_view aKey,
              std::string_view aValue,
              VersionCallback aCallback) override;
  void Update(std::string_view aKey,
              std::string_view aValue,
              std::uint64_t aExpectedVersion,
              VersionCallback aCallback) override;
  void Watch(std::string_view aKey,
             std::uint64_t aAfterVersion,
             std::chrono::milliseconds aTimeout,
             ObjectCallback aCallback) override;
  void List(std::string_view aPrefix, ListCallback aCallback) override;

private:
  void Read(std::string_view aKey,
            std::string_view aQuery,
            std::chrono::milliseconds aExtraTime,
            ObjectCallback aCallback);
  void Write(std::string_view aKey,
             std::string_view aValue,
             const HttpField& aCondition,
             VersionCallback aCallback);
  template<typename Value>
  void Refuse(std::string_view aReason,
              std::function<void(const StoreResult<Value>&)> aCallback);

  std::unique_ptr<PlatformClient> client_;
};

} // namespace filbertbeam
