#include "balancing/BurstDivision.h"

#include <algorithm>
#include <array>

namespace filbertbeam {

namespace {

// By rank as owner of a shard. Nearly all extra attempts are asked of the
// first; the second keeps enough to stand in for it.
constexpr std::array<double, 2> kSharesByRank{ 0.65, 0.15 };
// Divided equally among all hosts, for those that select alone. A host that
// restarts may spend its part again, so as much is left to nobody.
constexpr double kCommonShare = 0.1;

} // namespace

BurstPart
DivideBurst(OwnerRanking& aRanking,
            std::string_view aService,
            std::uint32_t aShardCount)
{
  const double common =
    kCommonShare /
    static_cast<double>(std::max<std::size_t>(aRanking.Hosts().size(), 1));
  double byRank = 0;
  for (std::uint32_t shard = 0; shard < aShardCount; ++shard) {
    const std::size_t rank = aRanking.RankOfSelf(aService, shard);
    byRank += rank < kSharesByRank.size() ? kSharesByRank[rank] : 0;
  }
  return { common + byRank / std::max<std::uint32_t>(aShardCount, 1), common };
}

} // namespace filbertbeam
