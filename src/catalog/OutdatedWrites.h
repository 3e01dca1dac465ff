#pragma once

#include "base/Clock.h"
#include "catalog/WriteOrder.h"

#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Keeps what the writers of a collection's objects wrote last, where the
// catalog shows an earlier write that it has executed late. It does so for
// kOutdatedWriteRetention; by then, a writer that lives has written again.
class OutdatedWrites
{
public:
  using Objects = std::map<std::string, CatalogObject, std::less<>>;

  // aCollection is its name in logs. aOrder may be null: then no write is
  // outdated. aOnExpired is called when the catalog's word counts again for
  // some objects; TakeExpired returns them. References have to outlive the
  // object.
  OutdatedWrites(std::string_view aCollection,
                 const WriteOrder* aOrder,
                 const Clock& aClock,
                 std::function<void()> aOnExpired);

  // Returns aRead, a version of an object that was read, as it applies: with
  // those parts of aKnown that were written later. aKnown is the object as it
  // applied before, null if there was none.
  CatalogObject Resolve(const CatalogObject* aKnown, CatalogObject aRead);
  // The object was removed.
  void Forget(const std::string& aName);
  // Returns the objects that are kept no longer, as the catalog shows them.
  Objects TakeExpired();
  // Number of objects that are kept against the catalog's word.
  std::size_t KeptCount() const { return kept_.size(); }

private:
  struct Kept
  {
    // The object as the catalog shows it.
    CatalogObject shown;
    Instant since;
  };

  // Returns aRead with the later parts of aKnown; nullopt if it has none.
  // Updates aLatest by aStamp, the stamp of aRead.
  std::optional<CatalogObject> WithLaterParts(const CatalogObject& aKnown,
                                              const CatalogObject& aRead,
                                              const WriteStamp& aStamp,
                                              WriteStamp& aLatest) const;
  // True when the catalog already showed the content of aRead, against which
  // another one is kept.
  bool IsShown(const CatalogObject& aRead) const;
  void Keep(const CatalogObject& aShown,
            const WriteStamp& aStamp,
            const WriteStamp& aLatest);
  void OnTimeout();

  const std::string_view collection_;
  const WriteOrder* const order_;
  const Clock& clock_;
  const std::function<void()> onExpired_;
  // The latest write that is known of each object, by name.
  std::map<std::string, WriteStamp, std::less<>> latest_;
  std::map<std::string, Kept, std::less<>> kept_;
  QTimer timer_;
};

// Longer than a catalog keeps the object of a writer that no longer writes.
inline constexpr std::chrono::seconds kOutdatedWriteRetention{ 30 };

} // namespace filbertbeam
