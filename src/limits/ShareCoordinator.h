#pragma once

#include "limits/CustomerLimiter.h"

#include <cstdint>

namespace filbertbeam {

// Divides the promise of each customer among the entry hosts. It runs on the
// customer's home, the live host that is responsible for its shares. The sum of
// the unexpired shares of a customer never exceeds its promise. Not
// thread-safe.
class ShareCoordinator
{
public:
  virtual ~ShareCoordinator() = default;

  static std::unique_ptr<ShareCoordinator> Create();

  virtual void SetConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) = 0;

  // Has to be called whenever the set of live hosts changes: until then,
  // another host may have been the home of any customer, and the shares that it
  // granted may still be in use. For kShareHoldTime, customers that hold no
  // shares from this host are granted none.
  virtual void OnHomesChanged(Instant aNow) = 0;

  // Records the report of one entry host and returns its shares. Customers
  // without a contract are left out, and so are customers whose shares from an
  // earlier home may still be valid. A share can be 0.
  virtual std::vector<ShareGrant> OnReport(
    std::string_view aHost,
    std::uint64_t aIncarnation,
    std::span<const CustomerDemand> aDemands,
    Instant aNow) = 0;
};

// Maximum delivery time of a grant; the control channel drops later ones.
inline constexpr std::chrono::seconds kMaxShareGrantDelay{ 1 };
// How long the home counts a share as held: the lifetime of a share on an entry
// host starts when its grant arrives, not when it is sent.
inline constexpr std::chrono::seconds kShareHoldTime =
  kShareLifetime + kMaxShareGrantDelay;

} // namespace filbertbeam
