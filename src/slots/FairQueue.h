#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace filbertbeam {

// Start-time fair queue over customers. While several customers have requests
// queued, each is served in proportion to its weight; the requests of one
// customer are served in order of arrival.
class FairQueue
{
public:
  // Queues aId for aCustomer. Ids are unique within the queue. aWeight replaces
  // the customer's earlier weight.
  void Push(std::uint64_t aId,
            std::string_view aCustomer,
            double aWeight,
            bool aIsIdempotent);

  // Removes and returns the next request.
  std::optional<std::uint64_t> Pop();
  // Removes and returns the next request, in the order of the queue, among the
  // customers whose oldest request is idempotent.
  std::optional<std::uint64_t> PopIdempotent();

  // Removes a request without charging its customer; returns false if it is not
  // queued.
  bool Remove(std::uint64_t aId);

  bool IsEmpty() const { return flowsById_.empty(); }
  std::size_t Size() const { return flowsById_.size(); }
  std::size_t SizeOf(std::string_view aCustomer) const;

private:
  struct Entry
  {
    std::uint64_t id = 0;
    bool isIdempotent = false;
  };

  // The queued requests of one customer.
  struct Flow
  {
    std::deque<Entry> entries;
    double weight = 1;
    // Virtual start time of the oldest entry; for an empty flow, the virtual
    // finish time of the entry that was served last.
    double start = 0;
    std::uint64_t sequence = 0;
  };

  struct OrderKey
  {
    double start = 0;
    std::uint64_t sequence = 0;
    Flow* flow = nullptr;

    bool operator<(const OrderKey& aOther) const
    {
      return start != aOther.start ? start < aOther.start
                                   : sequence < aOther.sequence;
    }
  };

  std::uint64_t Serve(const OrderKey& aKey);
  void EraseIdleFlows();

  std::unordered_map<std::string, Flow> flows_;
  std::unordered_map<std::uint64_t, Flow*> flowsById_;
  std::set<OrderKey> backloggedFlows_;
  // Virtual start time of the request that was served last.
  double virtualTime_ = 0;
  std::uint64_t nextSequence_ = 0;
};

} // namespace filbertbeam
