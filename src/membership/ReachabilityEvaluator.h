#pragma once

#include "membership/PartnerRing.h"

#include <cstdint>
#include <span>
#include <vector>

namespace filbertbeam {

enum class Reachability
{
  Reachable,
  // A majority of the member's own partners reports it.
  Unresponsive,
  // It belongs to a group of members all of whose links to here are reported.
  Partitioned,
};

// Derives from the links that members report as not working which members are
// reachable, as seen from one of them.
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
  // Marks what is connected to aStart by working links, within the members
  // whose mark is 0; returns them.
  std::vector<std::uint32_t> Mark(std::vector<std::uint32_t>& aMarks,
                                  std::uint32_t aStart,
                                  std::uint32_t aMark) const;
  bool IsPartitionConfirmed(std::span<const std::uint32_t> aGroup,
                            const std::vector<std::uint32_t>& aMarks) const;

  const PartnerRing& ring_;
  std::size_t self_;
  // A bit per position among the member's partners.
  std::vector<std::uint8_t> reported_;
};

} // namespace filbertbeam
