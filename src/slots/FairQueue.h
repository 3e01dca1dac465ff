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

// Start-time fair queue over customers: while several customers wait, each is
// served in proportion to its weight; within a customer, in order of arrival.
class FairQueue
{
public:
  // Queues aId for aCustomer. Ids are unique within the queue. The latest
  // weight of a customer counts.
  void Push(std::uint64_t aId,
            std::string_view aCustomer,
            double aWeight,
            bool aIsIdempotent);

  // Takes the next request.
  std::optional<std::uint64_t> Pop();
  // Takes the next request, in the order of the queue, whose customer's oldest
  // request is idempotent.
  std::optional<std::uint64_t> PopIdempotent();

  // Takes a request out without charging its customer; false when absent.
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

  // Requests of one customer.
  struct Flow
  {
    std::deque<Entry> entries;
    double weight = 1;
    // Virtual start of the oldest entry; where the flow is empty, the virtual
    // finish of the last one served.
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
  // Virtual start of the request served last.
  double virtualTime_ = 0;
  std::uint64_t nextSequence_ = 0;
};

} // namespace filbertbeam
