#pragma once

#include "membership/PartnerRing.h"

#include <cstdint>
#include <span>
#include <vector>

namespace filbertbeam {

enum class Reachability
{
  Reachable,
  // A majority of the member's reachable partners reports its links, or all of
  // its links are reported.
  Unresponsive,
  // The member belongs to a group of several members all of whose links to this
  // side are reported.
  Partitioned,
};

// Derives which members are reachable, as seen from one of them, from the links
// that members report as broken.
class ReachabilityEvaluator
{
public:
  // aRing has to outlive the object. All links work until reported.
  ReachabilityEvaluator(const PartnerRing& aRing, std::size_t aSelf);

  // Either end of a link may report it. Pairs that are no partners are ignored.
  void ReportLink(std::size_t aReporter, std::size_t aPartner);

  std::vector<Reachability> Evaluate() const;

private:
  bool IsLinkReported(std::size_t aMember, std::size_t aPosition) const;
  // Sets the mark of the members that are connected to aStart by working links,
  // among those whose mark is 0. Returns their indexes.
  std::vector<std::uint32_t> Mark(std::vector<std::uint32_t>& aMarks,
                                  std::uint32_t aStart,
                                  std::uint32_t aMark) const;
  bool IsPartitionConfirmed(std::span<const std::uint32_t> aGroup,
                            const std::vector<std::uint32_t>& aMarks) const;

  const PartnerRing& ring_;
  std::size_t self_;
  // Reported links of each member, with one bit per position among its
  // partners.
  std::vector<std::uint8_t> reported_;
};

} // namespace filbertbeam
