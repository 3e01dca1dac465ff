#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace filbertbeam {

// The catalog was restored from an older copy, as this host has noticed.
struct CatalogRestore
{
  std::uint64_t fromGeneration = 0;
  std::uint64_t toGeneration = 0;
  // What showed it, for logs: a call to the catalog or "peer".
  std::string_view source;
};

// Tracks the newest generation of the catalog that this host knows, from all
// responses to its calls and from its peers.
class GenerationTracker
{
public:
  using Handler = std::function<void(const CatalogRestore&)>;

  // aHandler is called for each increase that is noticed, but not for the first
  // generation that is known.
  void SetHandler(Handler aHandler) { handler_ = std::move(aHandler); }

  // The newest known generation, if any.
  const std::optional<std::uint64_t>& Known() const { return current_; }
  // As Known; 0 before the first one.
  std::uint64_t Current() const { return current_.value_or(0); }

  // Returns the generation of a response that states aStated, or nothing if it
  // is from an earlier generation than the current one. A response that states
  // no generation, or one that cannot be true, is of the generation that was
  // current when its call was sent.
  std::optional<std::uint64_t> OnResponse(std::optional<std::uint64_t> aStated,
                                          std::uint64_t aSentIn,
                                          std::string_view aCall);
  // A peer has read the catalog in aGeneration. Returns false if that cannot be
  // true.
  bool OnPeerGeneration(std::uint64_t aGeneration);

private:
  // False for an increase that no series of restores explains.
  bool IsPlausible(std::uint64_t aGeneration) const;
  void Advance(std::uint64_t aGeneration, std::string_view aSource);

  std::optional<std::uint64_t> current_;
  Handler handler_;
};

} // namespace filbertbeam
