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
             std::uint64_t,
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
               std::uint64_t,
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
};

} // namespace filbertbeam::testing
