#include "catalog/CountingCatalog.h"

#include <fmt/format.h>

#include <utility>

namespace filbertbeam {

namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, 6> kCollectionNames{
  "configuration", "backend-servers", "hosts", "members", "objects", "claims"
};
constexpr std::array<std::string_view, 6> kCallNames{
  "list_page", "stale_list_page", "watch", "read", "write", "probe"
};

} // namespace

CountingCatalog::CountingCatalog(ObjectCatalog& aCatalog)
  : catalog_(aCatalog)
{
  static_assert(kCollectionNames.size() == kCollections);
  static_assert(kCallNames.size() == kCalls);
}

std::uint64_t
CountingCatalog::Calls(Collection aCollection, CatalogCall aCall) const
{
  return counts_.at(static_cast<std::size_t>(aCollection))
    .at(static_cast<std::size_t>(aCall));
}

std::uint64_t
CountingCatalog::TotalCalls() const
{
  std::uint64_t total = 0;
  for (const auto& calls : counts_) {
    for (const std::uint64_t count : calls) {
      total += count;
    }
  }
  return total;
}

std::string
CountingCatalog::FormatMetrics() const
{
  std::string text = "# TYPE filbertbeam_catalog_calls_total counter\n";
  for (std::size_t collection = 0; collection < kCollections; ++collection) {
    for (std::size_t call = 0; call < kCalls; ++call) {
      text += fmt::format("filbertbeam_catalog_calls_total"
                          "{{collection=\"{}\",call=\"{}\"}} {}\n",
                          kCollectionNames.at(collection),
                          kCallNames.at(call),
                          counts_.at(collection).at(call));
    }
  }
  return text;
}

std::string
CountingCatalog::FormatForLog() const
{
  std::string text;
  for (std::size_t collection = 0; collection < kCollections; ++collection) {
    for (std::size_t call = 0; call < kCalls; ++call) {
      const std::uint64_t count = counts_.at(collection).at(call);
      if (count > 0) {
        text += fmt::format("{}{}:{}={}",
                            text.empty() ? "" : " ",
                            kCollectionNames.at(collection),
                            kCallNames.at(call),
                            count);
      }
    }
  }
  return text;
}

void
CountingCatalog::Count(Collection aCollection, CatalogCall aCall)
{
  ++counts_.at(static_cast<std::size_t>(aCollection))
      .at(static_cast<std::size_t>(aCall));
}

void
CountingCatalog::List(Collection aCollection,
                      std::string_view aAfter,
                      ListFreshness aFreshness,
                      PageCallback aCallback)
{
  Count(aCollection,
        aFreshness == ListFreshness::MayBeStale ? CatalogCall::StaleListPage
                                                : CatalogCall::ListPage);
  catalog_.List(aCollection, aAfter, aFreshness, std::move(aCallback));
}

void
CountingCatalog::Watch(Collection aCollection,
                       const CatalogVersion& aVersion,
                       std::chrono::milliseconds aWait,
                       ChangesCallback aCallback)
{
  Count(aCollection, CatalogCall::Watch);
  catalog_.Watch(aCollection, aVersion, aWait, std::move(aCallback));
}

void
CountingCatalog::Read(Collection aCollection,
                      std::string_view aName,
                      EntryCallback aCallback)
{
  Count(aCollection, CatalogCall::Read);
  catalog_.Read(aCollection, aName, std::move(aCallback));
}

void
CountingCatalog::Create(Collection aCollection,
                        std::string_view aName,
                        const QJsonObject& aContent,
                        EntryCallback aCallback)
{
  Count(aCollection, CatalogCall::Write);
  catalog_.Create(aCollection, aName, aContent, std::move(aCallback));
}

void
CountingCatalog::Replace(Collection aCollection,
                         std::string_view aName,
                         const QJsonObject& aContent,
                         const CatalogVersion& aVersion,
                         EntryCallback aCallback)
{
  Count(aCollection, CatalogCall::Write);
  catalog_.Replace(
    aCollection, aName, aContent, aVersion, std::move(aCallback));
}

void
CountingCatalog::Put(Collection aCollection,
                     std::string_view aName,
                     const QJsonObject& aContent,
                     WriteCallback aCallback)
{
  Count(aCollection, CatalogCall::Write);
  catalog_.Put(aCollection, aName, aContent, std::move(aCallback));
}

void
CountingCatalog::Remove(Collection aCollection,
                        std::string_view aName,
                        WriteCallback aCallback)
{
  Count(aCollection, CatalogCall::Write);
  catalog_.Remove(aCollection, aName, std::move(aCallback));
}

void
CountingCatalog::Probe(ProbeCallback aCallback)
{
  Count(Collection::Configuration, CatalogCall::Probe);
  catalog_.Probe(std::move(aCallback));
}

void
CountingCatalog::SetRestoreHandler(GenerationTracker::Handler aHandler)
{
  catalog_.SetRestoreHandler(std::move(aHandler));
}

void
CountingCatalog::SetEndpoint(const Endpoint& aEndpoint)
{
  catalog_.SetEndpoint(aEndpoint);
}

bool
CountingCatalog::OnPeerGeneration(std::uint64_t aGeneration)
{
  return catalog_.OnPeerGeneration(aGeneration);
}

} // namespace filbertbeam
