#pragma once

#include "core/retry_allowance.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace lagoondeck {

/// This instance's part of one group's allowance. It counts its own requests and its own extra
/// arrivals in the sliding window; its part of the slack is what an equal division leaves it.
class RetryBudget
{
public:
    /// A request for the group arrived.
    void onRequest(Instant now);
    /// Takes one extra arrival; false when none is left beyond the reserve.
    bool take(const RetryAllowance &allowance, std::size_t instances, double reserve,
              Instant now);
    /// What could be taken now.
    double left(const RetryAllowance &allowance, std::size_t instances, Instant now);

private:
    /// Counts of one short span.
    struct Span
    {
        Instant since {};
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    Span &current(Instant now);
    void forget(Duration window, Instant now);

    std::deque<Span> spans;
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
};

} // namespace lagoondeck
