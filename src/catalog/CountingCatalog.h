#pragma once

#include "catalog/ObjectCatalog.h"

#include <array>

namespace filbertbeam {

enum class CatalogCall
{
  // One page of a list.
  ListPage,
  // One page of a list that may be stale.
  StaleListPage,
  Watch,
  Read,
  // A creation, replacement or removal.
  Write,
  // A check whether the catalog responds; counted as a call for the
  // configuration.
  Probe,
};

// Counts the calls to a catalog by collection and kind, since each call costs
// the deployment. Counts are kept on the thread that makes the calls.
class CountingCatalog final : public ObjectCatalog
{
public:
  // aCatalog has to outlive this object.
  explicit CountingCatalog(ObjectCatalog& aCatalog);

  std::uint64_t Calls(Collection aCollection, CatalogCall aCall) const;
  std::uint64_t TotalCalls() const;
  // Returns the counts in Prometheus text format.
  std::string FormatMetrics() const;
  // Returns the counts that are not zero, for logs: "hosts:write=1 ...".
  std::string FormatForLog() const;

  void List(Collection aCollection,
            std::string_view aAfter,
            ListFreshness aFreshness,
            PageCallback aCallback) override;
  void Watch(Collection aCollection,
             const CatalogVersion& aVersion,
             std::chrono::milliseconds aWait,
             ChangesCallback aCallback) override;
  void Read(Collection aCollection,
            std::string_view aName,
            EntryCallback aCallback) override;
  void Create(Collection aCollection,
              std::string_view aName,
              const QJsonObject& aContent,
              EntryCallback aCallback) override;
  void Replace(Collection aCollection,
               std::string_view aName,
               const QJsonObject& aContent,
               const CatalogVersion& aVersion,
               EntryCallback aCallback) override;
  void Put(Collection aCollection,
           std::string_view aName,
           const QJsonObject& aContent,
           WriteCallback aCallback) override;
  void Remove(Collection aCollection,
              std::string_view aName,
              WriteCallback aCallback) override;
  void Probe(ProbeCallback aCallback) override;
  void SetEndpoint(const Endpoint& aEndpoint) override;
  void SetRestoreHandler(GenerationTracker::Handler aHandler) override;
  std::uint64_t Generation() const override { return catalog_.Generation(); }
  bool OnPeerGeneration(std::uint64_t aGeneration) override;

private:
  static constexpr std::size_t kCollections =
    static_cast<std::size_t>(Collection::Claims) + 1;
  static constexpr std::size_t kCalls =
    static_cast<std::size_t>(CatalogCall::Probe) + 1;

  void Count(Collection aCollection, CatalogCall aCall);

  ObjectCatalog& catalog_;
  std::array<std::array<std::uint64_t, kCalls>, kCollections> counts_{};
};

} // namespace filbertbeam
