#include "membership/ReachabilityEvaluator.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// A single reporter may itself be faulty.
constexpr std::size_t kMinReporters = 2;

constexpr std::uint32_t kUnmarked = 0;
constexpr std::uint32_t kConnectedToSelf = 1;

} // namespace

ReachabilityEvaluator::ReachabilityEvaluator(const PartnerRing& aRing,
                                             std::size_t aSelf)
  : ring_(aRing)
  , self_(aSelf)
  , reported_(aRing.MemberCount())
{
  static_assert(PartnerRing::kMaxPartners <= 8);
}

void
ReachabilityEvaluator::ReportLink(std::size_t aReporter, std::size_t aPartner)
{
  const auto set = [&](std::size_t aMember, std::size_t aOther) {
    const auto partners = ring_.PartnersOf(aMember);
    const auto found = std::find(partners.begin(), partners.end(), aOther);
    if (found != partners.end()) {
      reported_[aMember] |=
        static_cast<std::uint8_t>(1U << (found - partners.begin()));
    }
  };
  set(aReporter, aPartner);
  set(aPartner, aReporter);
}

bool
ReachabilityEvaluator::IsLinkReported(std::size_t aMember,
                                      std::size_t aPosition) const
{
  return (reported_[aMember] >> aPosition & 1U) != 0;
}

std::vector<std::uint32_t>
ReachabilityEvaluator::Mark(std::vector<std::uint32_t>& aMarks,
                            std::uint32_t aStart,
                            std::uint32_t aMark) const
{
  std::vector<std::uint32_t> group{ aStart };
  aMarks[aStart] = aMark;
  for (std::size_t next = 0; next < group.size(); ++next) {
    const std::uint32_t member = group[next];
    const auto partners = ring_.PartnersOf(member);
    for (std::size_t i = 0; i < partners.size(); ++i) {
      if (aMarks[partners[i]] == kUnmarked && !IsLinkReported(member, i)) {
        aMarks[partners[i]] = aMark;
        group.push_back(partners[i]);
      }
    }
  }
  return group;
}

bool
ReachabilityEvaluator::IsPartitionConfirmed(
  std::span<const std::uint32_t> aGroup,
  const std::vector<std::uint32_t>& aMarks) const
{
  std::vector<std::uint32_t> reporters;
  for (const std::uint32_t member : aGroup) {
    const auto partners = ring_.PartnersOf(member);
    for (const std::uint32_t partner : partners) {
      if (aMarks[partner] == kConnectedToSelf &&
          std::find(reporters.begin(), reporters.end(), partner) ==
            reporters.end()) {
        reporters.push_back(partner);
        if (reporters.size() >= kMinReporters) {
          return true;
        }
      }
    }
  }
  // In a fleet of two hosts there is no second reporter.
  return aGroup.size() == 1 && reporters.size() == 1 &&
         ring_.PartnersOf(aGroup.front()).size() == 1;
}

std::vector<Reachability>
ReachabilityEvaluator::Evaluate() const
{
  std::vector<Reachability> results(ring_.MemberCount(),
                                    Reachability::Reachable);
  std::vector<std::uint32_t> marks(ring_.MemberCount(), kUnmarked);
  const auto connected =
    Mark(marks, static_cast<std::uint32_t>(self_), kConnectedToSelf);

  std::uint32_t mark = kConnectedToSelf;
  for (std::uint32_t member = 0; member < marks.size(); ++member) {
    if (marks[member] != kUnmarked) {
      continue;
    }
    const auto group = Mark(marks, member, ++mark);
    if (IsPartitionConfirmed(group, marks)) {
      const Reachability result = group.size() == 1 ? Reachability::Unresponsive
                                                    : Reachability::Partitioned;
      for (const std::uint32_t each : group) {
        results[each] = result;
      }
    }
  }

  for (const std::uint32_t member : connected) {
    if (member == self_ || reported_[member] == 0) {
      continue;
    }
    // Only partners on this side of a partition count, because no reports
    // arrive from the others.
    const auto partners = ring_.PartnersOf(member);
    std::size_t counted = 0;
    std::size_t reports = 0;
    for (std::size_t i = 0; i < partners.size(); ++i) {
      if (marks[partners[i]] == kConnectedToSelf) {
        ++counted;
        reports += IsLinkReported(member, i) ? 1U : 0U;
      }
    }
    if (reports >= kMinReporters && reports * 2 > counted) {
      results[member] = Reachability::Unresponsive;
    }
  }
  return results;
}

} // namespace filbertbeam
