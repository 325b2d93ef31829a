#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace lagoondeck {

/// Sub-requests that wait for a replica of one shard, the highest priority first, and within one
/// priority the query that arrived first.
class WaitQueue
{
public:
    struct Waiter
    {
        std::uint32_t priority = 0;
        Instant since {};
        QueryId query;

        auto operator<=>(const Waiter &) const = default; // NOLINT(modernize-use-nullptr)
    };

    void add(const Waiter &waiter) { this->waiters.insert(waiter); }
    void remove(const Waiter &waiter) { this->waiters.erase(waiter); }
    const Waiter *first() const
    {
        return this->waiters.empty() ? nullptr : &*this->waiters.begin();
    }
    /// Returns the next waiter after the given one, which need not be in the queue any more.
    const Waiter *after(const Waiter &waiter) const
    {
        const auto next = this->waiters.upper_bound(waiter);
        return next == this->waiters.end() ? nullptr : &*next;
    }
    std::size_t size() const { return this->waiters.size(); }

private:
    std::set<Waiter> waiters;
};

} // namespace lagoondeck
