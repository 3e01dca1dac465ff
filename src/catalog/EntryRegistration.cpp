#include "catalog/EntryRegistration.h"

#include "base/Log.h"

#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryDelay{ 500 };

} // namespace

EntryRegistration::EntryRegistration(ObjectCatalog& aCatalog,
                                     Collection aCollection,
                                     std::string aName,
                                     Random& aRandom)
  : catalog_(aCatalog)
  , collection_(aCollection)
  , name_(std::move(aName))
  , random_(aRandom)
{
  retryTimer_.setSingleShot(true);
  retryTimer_.callOnTimeout([this] { Send(); });
}

void
EntryRegistration::Write(QJsonObject aContent)
{
  content_ = std::move(aContent);
  Send();
}

void
EntryRegistration::Send()
{
  if (isRemoved_) {
    return;
  }
  retryTimer_.stop();
  isWriting_ = true;
  catalog_.Put(
    collection_, name_, content_, [this](const CatalogFailure& aFailure) {
      if (aFailure.error == CatalogError::None || isRemoved_) {
        isWriting_ = false;
        return;
      }
      LogEvent(LogLevel::Warning,
               "host_not_registered",
               { { "reason", aFailure.reason } });
      // Random, so that hosts that failed together do not retry together.
      retryTimer_.start(kRetryDelay +
                        milliseconds(random_.Below(
                          static_cast<std::uint64_t>(kRetryDelay.count()))));
    });
}

void
EntryRegistration::Remove(std::function<void()> aDone)
{
  isRemoved_ = true;
  retryTimer_.stop();
  catalog_.Remove(collection_,
                  name_,
                  [done = std::move(aDone)](const CatalogFailure& aFailure) {
                    if (aFailure.error != CatalogError::None) {
                      LogEvent(LogLevel::Warning,
                               "host_not_unregistered",
                               { { "reason", aFailure.reason } });
                    }
                    done();
                  });
}

} // namespace filbertbeam
