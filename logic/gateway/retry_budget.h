#pragma once

#include "core/retry_allowance.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace lagoondeck {

/// This instance's share of one group's retry allowance.
///
/// The budget counts the requests and extra arrivals (retries and hedges) of this instance in a
/// sliding window. The slack, which the allowance grants regardless of the number of requests, is
/// divided equally among the instances.
///
/// In a large fleet the equal share is only a few arrivals, and one instance may need more while
/// the others need none, so instances can borrow from each other. A loan counts as spent by the
/// lender until one window after its last possible use, so that the total over the fleet does not
/// grow.
///
/// A restarted instance does not know what it spent before the restart. Unless the whole fleet
/// starts for the first time, it therefore gets no slack until one window has passed.
class RetryBudget
{
public:
    explicit RetryBudget(Instant slackAvailableAt = {}) : slackAvailableAt(slackAvailableAt) { }

    /// Called when a request for the group arrives.
    void onRequest(Instant now);
    /// Spends one extra arrival. Returns false if only the reserved fraction of the window's
    /// allowance is left and no loan is available.
    bool trySpend(const RetryAllowance &allowance, std::size_t instances, double reservedFraction,
                  Instant now);

    /// Lends up to the requested number of extra arrivals, to be spent within loanLifetime. Returns
    /// the number of extra arrivals that were lent.
    std::uint32_t lend(const RetryAllowance &allowance, std::size_t instances,
                       std::uint32_t requested, Instant now);
    /// Adds extra arrivals that another instance lent.
    void borrow(std::uint32_t count, Instant until) { this->borrowed.push_back({count, until}); }

    /// How long the borrower may spend a loan.
    static constexpr Duration loanLifetime = std::chrono::milliseconds(500);

private:
    struct Loan
    {
        std::uint32_t count = 0;
        /// When a borrowed loan expires, or when the lender stops counting a lent one as spent.
        Instant until {};
    };

    /// The counts of one short interval of the sliding window.
    struct Bucket
    {
        Instant since {};
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    /// Returns how many extra arrivals this instance may send per window, including those already
    /// sent.
    double allowedExtras(const RetryAllowance &allowance, std::size_t instances, Instant now) const;
    Bucket &currentBucket(Instant now);
    /// Removes buckets that left the window and expired loans.
    void removeExpired(Duration window, Instant now);

    Instant slackAvailableAt;
    std::deque<Bucket> buckets;
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
    std::deque<Loan> borrowed;
    std::deque<Loan> lent;
    std::uint32_t lentCount = 0;
};

} // namespace lagoondeck
