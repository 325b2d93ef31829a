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
/// In a large fleet that part is a few arrivals, and one instance may need more while the others
/// need none: it borrows from them. What is lent counts as spent by the lender from the loan until
/// a window after its last use, so that the sum over the fleet stays what it is.
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

    /// Lends up to the wanted number of extra arrivals, to be used within loanTime; returns how
    /// many.
    std::uint32_t lend(const RetryAllowance &allowance, std::size_t instances, std::uint32_t wanted,
                       Instant now);
    void borrow(std::uint32_t count, Instant until) { this->borrowed.push_back({count, until}); }

    /// How long a loan may be used.
    static constexpr Duration loanTime = std::chrono::milliseconds(500);

private:
    struct Loan
    {
        std::uint32_t count = 0;
        /// The borrower's last use, or when the lender counts it no longer.
        Instant until {};
    };

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
    std::deque<Loan> borrowed;
    std::deque<Loan> lent;
    std::uint32_t lentCount = 0;
};

} // namespace lagoondeck
