#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// Assigns every member its heartbeat partners: two neighbours on each side in a
// ring of the member's domain and in a ring of all members. The result is the
// same on every host that has the same members. Partnership is symmetric.
class PartnerRing
{
public:
  static constexpr std::size_t kMaxPartners = 8;

  struct RingMember
  {
    std::string host;
    std::string region;
    std::string domain;
  };

  PartnerRing() = default;
  // Members are identified by their index in aMembers; their names have to
  // differ.
  explicit PartnerRing(std::span<const RingMember> aMembers);

  std::size_t MemberCount() const { return partners_.size(); }
  std::span<const std::uint32_t> PartnersOf(std::size_t aMember) const;

private:
  struct Partners
  {
    std::array<std::uint32_t, kMaxPartners> indexes;
    std::uint32_t count = 0;
  };

  void Connect(std::span<const std::uint32_t> aRing);
  void Add(std::uint32_t aMember, std::uint32_t aPartner);

  std::vector<Partners> partners_;
};

} // namespace filbertbeam
