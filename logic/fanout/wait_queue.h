#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace lagoondeck {

/// Sub-requests that wait for a replica of one shard, the highest priority first and then the one
/// that came first.
class WaitQueue
{
public:
    struct Place
    {
        std::uint32_t priority = 0;
        Instant since {};
        QueryId query;

        auto operator<=>(const Place &) const = default; // NOLINT(modernize-use-nullptr)
    };

    void add(const Place &place) { this->places.insert(place); }
    void remove(const Place &place) { this->places.erase(place); }
    const Place *first() const { return this->places.empty() ? nullptr : &*this->places.begin(); }
    /// The place behind another one, which need not be in the queue any more.
    const Place *after(const Place &place) const
    {
        const auto next = this->places.upper_bound(place);
        return next == this->places.end() ? nullptr : &*next;
    }
    std::size_t size() const { return this->places.size(); }

private:
    std::set<Place> places;
};

} // namespace lagoondeck
