#pragma once

#include "core/retry_allowance.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace lagoondeck {

/// This instance's part of one group's allowance. It counts its own requests and its own extra
/// arrivals in the sliding window; its part of the slack is what an equal division leaves it.
///
/// An instance that has just started does not know what it spent before its end: without a first
/// start of the whole fleet it has no part of the slack until a window has passed.
class RetryBudget
{
public:
    explicit RetryBudget(Instant slackFrom = {}) : slackFrom(slackFrom) { }

    /// A request for the group arrived.
    void onRequest(Instant now);
    /// Takes one extra arrival; false when none is left beyond the reserved part of the window's
    /// allowance.
    bool take(const RetryAllowance &allowance, std::size_t instances, double reservedPart,
              Instant now);

private:
    /// Counts of one short span.
    struct Span
    {
        Instant since {};
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    /// What this instance may send in the window, used or not.
    double earned(const RetryAllowance &allowance, std::size_t instances, Instant now) const;
    Span &current(Instant now);
    void forget(Duration window, Instant now);

    Instant slackFrom;
    std::deque<Span> spans;
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
};

} // namespace lagoondeck
