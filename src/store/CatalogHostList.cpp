#include "store/CatalogHostList.h"

#include "store/ListedHostJson.h"

#include <fmt/format.h>

#include <utility>

namespace filbertbeam {

// Reads the pages of the list. Kept alive by the call that it waits for.
class CatalogHostList::FetchCall
  : public std::enable_shared_from_this<FetchCall>
{
public:
  FetchCall(ObjectCatalog& aCatalog, Callback aCallback)
    : catalog_(aCatalog)
    , callback_(std::move(aCallback))
  {
  }

  void Next(const std::string& aAfter)
  {
    catalog_.List(Collection::Members,
                  aAfter,
                  [self = shared_from_this()](const CatalogPage& aPage) {
                    self->OnPage(aPage);
                  });
  }

private:
  void Fail(std::string aReason)
  {
    callback_({ {}, StoreError::Unavailable, std::move(aReason) });
  }

  void OnPage(const CatalogPage& aPage)
  {
    if (aPage.failure.error != CatalogError::None) {
      Fail(aPage.failure.reason);
      return;
    }
    for (const CatalogObject& object : aPage.objects) {
      // The list is refused as a whole: a host left out of it would look as
      // if it had gone.
      auto host = ListedHostFromJson(object.name, object.content);
      if (!host) {
        Fail(fmt::format("the entry of host {} is malformed", object.name));
        return;
      }
      hosts_.push_back(std::move(*host));
    }
    if (aPage.hasMore && !aPage.objects.empty()) {
      Next(aPage.objects.back().name);
      return;
    }
    callback_({ std::move(hosts_), StoreError::None, {} });
  }

  ObjectCatalog& catalog_;
  const Callback callback_;
  std::vector<ListedHost> hosts_;
};

namespace {

ObjectCatalog::WriteCallback
Reporting(HostList::WriteCallback aCallback)
{
  return [callback = std::move(aCallback)](const CatalogFailure& aFailure) {
    callback(aFailure.error == CatalogError::None
               ? std::nullopt
               : std::optional(aFailure.reason));
  };
}

} // namespace

CatalogHostList::CatalogHostList(std::unique_ptr<ObjectCatalog> aCatalog)
  : catalog_(std::move(aCatalog))
{
}

void
CatalogHostList::Fetch(Callback aCallback)
{
  std::make_shared<FetchCall>(*catalog_, std::move(aCallback))->Next({});
}

void
CatalogHostList::Write(const ListedHost& aHost, WriteCallback aCallback)
{
  catalog_->Put(Collection::Members,
                aHost.host,
                ListedHostToJson(aHost),
                Reporting(std::move(aCallback)));
}

void
CatalogHostList::Remove(std::string_view aHost, WriteCallback aCallback)
{
  catalog_->Remove(Collection::Members, aHost, Reporting(std::move(aCallback)));
}

} // namespace filbertbeam
