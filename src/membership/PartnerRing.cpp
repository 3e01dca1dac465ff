#include "membership/PartnerRing.h"

#include "base/Digest.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace filbertbeam {

namespace {

constexpr std::size_t kNeighboursPerSide = 2;

// Different seeds give the two rings different orders, so that each host of a
// fleet with a single domain has 8 partners too.
constexpr std::uint64_t kDomainRingSeed = 1;
constexpr std::uint64_t kFleetRingSeed = 2;

// Returns the position on a ring, between 0 and 1, of item aRank of aCount,
// where several groups of different sizes are spread evenly over the ring.
double
SpreadPosition(std::size_t aRank, std::size_t aCount)
{
  return (2.0 * static_cast<double>(aRank) + 1.0) /
         (2.0 * static_cast<double>(aCount));
}

std::vector<std::uint32_t>
OrderByHash(std::span<const PartnerRing::RingMember> aMembers,
            std::span<const std::uint32_t> aIndexes,
            std::uint64_t aSeed)
{
  std::vector<std::tuple<std::uint64_t, std::string_view, std::uint32_t>> keys;
  keys.reserve(aIndexes.size());
  for (const std::uint32_t index : aIndexes) {
    const std::string& host = aMembers[index].host;
    keys.emplace_back(StableHash(host, aSeed), host, index);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<std::uint32_t> order;
  order.reserve(keys.size());
  for (const auto& key : keys) {
    order.push_back(std::get<std::uint32_t>(key));
  }
  return order;
}

} // namespace

PartnerRing::PartnerRing(std::span<const RingMember> aMembers)
  : partners_(aMembers.size())
{
  // Member indexes by region, then by domain.
  std::map<std::string_view,
           std::map<std::string_view, std::vector<std::uint32_t>>>
    regions;
  for (std::uint32_t i = 0; i < aMembers.size(); ++i) {
    regions[aMembers[i].region][aMembers[i].domain].push_back(i);
  }

  // The ring of all members alternates between the domains, and between the
  // regions within each turn, so that neighbours are in different domains and
  // partners outside of a lost domain report all of its hosts. With a random
  // order, 11% of the hosts of one of three domains would have fewer than two
  // partners outside.
  std::vector<std::tuple<double, double, std::string_view, std::uint32_t>>
    fleet;
  fleet.reserve(aMembers.size());
  for (const auto& [region, domains] : regions) {
    std::size_t domainRank = 0;
    for (const auto& [domain, indexes] : domains) {
      Connect(OrderByHash(aMembers, indexes, kDomainRingSeed));

      const double turn = SpreadPosition(domainRank++, domains.size());
      const auto order = OrderByHash(aMembers, indexes, kFleetRingSeed);
      for (std::size_t rank = 0; rank < order.size(); ++rank) {
        fleet.emplace_back(
          SpreadPosition(rank, order.size()), turn, region, order[rank]);
      }
    }
  }
  // Equal positions within a region differ in the turn, so that the order never
  // depends on the index, which differs between hosts.
  std::sort(fleet.begin(), fleet.end());
  std::vector<std::uint32_t> fleetOrder;
  fleetOrder.reserve(fleet.size());
  for (const auto& entry : fleet) {
    fleetOrder.push_back(std::get<std::uint32_t>(entry));
  }
  Connect(fleetOrder);
}

std::span<const std::uint32_t>
PartnerRing::PartnersOf(std::size_t aMember) const
{
  const Partners& partners = partners_[aMember];
  return { partners.indexes.data(), partners.count };
}

void
PartnerRing::Connect(std::span<const std::uint32_t> aRing)
{
  for (std::size_t i = 0; i < aRing.size(); ++i) {
    for (std::size_t step = 1; step <= kNeighboursPerSide; ++step) {
      const std::uint32_t next = aRing[(i + step) % aRing.size()];
      if (next != aRing[i]) {
        Add(aRing[i], next);
        Add(next, aRing[i]);
      }
    }
  }
}

void
PartnerRing::Add(std::uint32_t aMember, std::uint32_t aPartner)
{
  Partners& partners = partners_[aMember];
  const auto end = partners.indexes.begin() + partners.count;
  if (std::find(partners.indexes.begin(), end, aPartner) == end) {
    partners.indexes[partners.count++] = aPartner;
  }
}

} // namespace filbertbeam
