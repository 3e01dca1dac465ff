#pragma once

#include "limits/CustomerLimiter.h"

#include <cstdint>

namespace filbertbeam {

// Divides promises among entry hosts, on the home host of each customer. The
// sum of the unexpired shares of a customer never exceeds its promise. Not
// thread-safe.
class ShareCoordinator
{
public:
  virtual ~ShareCoordinator() = default;

  static std::unique_ptr<ShareCoordinator> Create();

  virtual void SetConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) = 0;

  // Call whenever the set of live hosts changes: another host may have been
  // the home of any customer until now, and its shares are still in use. For
  // kShareHoldTime, customers without shares from here get none.
  virtual void OnHomesChanged(Instant aNow) = 0;

  // Takes the report of one entry host and returns its shares. Customers
  // without a contract are left out; so are customers whose shares from an
  // earlier home may still be valid. A share can be 0.
  virtual std::vector<ShareGrant> OnReport(
    std::string_view aHost,
    std::uint64_t aIncarnation,
    std::span<const CustomerDemand> aDemands,
    Instant aNow) = 0;
};

// Longest delivery time of a grant; the control channel drops later ones.
inline constexpr std::chrono::seconds kMaxShareGrantDelay{ 1 };
// How long the home counts a share as held: an entry host counts its lifetime
// from the arrival of the grant, not from its sending.
inline constexpr std::chrono::seconds kShareHoldTime =
  kShareLifetime + kMaxShareGrantDelay;

} // namespace filbertbeam
