#pragma once

#include "catalog/ObjectCatalog.h"

namespace filbertbeam::testing {

// Never responds to a call; tests override the calls that they need.
class CatalogStub : public ObjectCatalog
{
public:
  void List(Collection, std::string_view, ListFreshness, PageCallback) override
  {
  }
  void Watch(Collection,
             const CatalogVersion&,
             std::chrono::milliseconds,
             ChangesCallback) override
  {
  }
  void Read(Collection, std::string_view, EntryCallback) override {}
  void Create(Collection,
              std::string_view,
              const QJsonObject&,
              EntryCallback) override
  {
  }
  void Replace(Collection,
               std::string_view,
               const QJsonObject&,
               const CatalogVersion&,
               EntryCallback) override
  {
  }
  void Put(Collection,
           std::string_view,
           const QJsonObject&,
           WriteCallback) override
  {
  }
  void Remove(Collection, std::string_view, WriteCallback) override {}
  void Probe(ProbeCallback) override {}
  void SetEndpoint(const Endpoint&) override {}
  void SetRestoreHandler(GenerationTracker::Handler aHandler) override
  {
    generations.SetHandler(std::move(aHandler));
  }
  std::uint64_t Generation() const override { return generations.Current(); }
  bool OnPeerGeneration(std::uint64_t aGeneration) override
  {
    return generations.OnPeerGeneration(aGeneration);
  }

  GenerationTracker generations;
};

} // namespace filbertbeam::testing
