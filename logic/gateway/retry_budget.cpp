#include "logic/gateway/retry_budget.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// The resolution of the sliding window: requests and extra arrivals are counted per bucket.
constexpr Duration bucketLength = std::chrono::milliseconds(200);
/// The fraction of the slack that is divided among the instances. The rest is a safety margin for
/// instances that disagree about the fleet size and for restarts, after which an instance no longer
/// knows what it spent.
constexpr double sharedSlackFraction = 0.7;
/// The fraction of the ratio that is used. The rest is a safety margin for buckets that extend past
/// the edge of the window and for requests that callers cancelled before they were counted
/// elsewhere.
constexpr double usableRatioFraction = 0.92;
/// The fraction of a window's allowance that an instance never lends to others.
constexpr double unlendableFraction = 0.3;

} // namespace

RetryBudget::Bucket &RetryBudget::currentBucket(Instant now)
{
    if (this->buckets.empty() || now - this->buckets.back().since >= bucketLength) {
        this->buckets.push_back({now});
    }
    return this->buckets.back();
}

void RetryBudget::removeExpired(Duration window, Instant now)
{
    while (!this->buckets.empty() && now - this->buckets.front().since > window + bucketLength) {
        this->requests -= this->buckets.front().requests;
        this->extras -= this->buckets.front().extras;
        this->buckets.pop_front();
    }
    while (!this->lent.empty() && this->lent.front().until <= now) {
        this->lentCount -= this->lent.front().count;
        this->lent.pop_front();
    }
    while (!this->borrowed.empty()
           && (this->borrowed.front().until <= now || this->borrowed.front().count == 0)) {
        this->borrowed.pop_front();
    }
}

void RetryBudget::onRequest(Instant now)
{
    ++this->currentBucket(now).requests;
    ++this->requests;
}

double RetryBudget::allowedExtras(const RetryAllowance &allowance, std::size_t instances,
                                  Instant now) const
{
    const double slackShare = now < this->slackAvailableAt ? 0.0
                                                           : allowance.slack * sharedSlackFraction
                    / static_cast<double>(std::max<std::size_t>(instances, 1));
    return allowance.ratio * usableRatioFraction * this->requests + slackShare;
}

bool RetryBudget::trySpend(const RetryAllowance &allowance, std::size_t instances,
                           double reservedFraction, Instant now)
{
    this->removeExpired(allowance.window, now);
    const double allowed = this->allowedExtras(allowance, instances, now);
    if (allowed * (1.0 - reservedFraction) - this->extras - this->lentCount >= 1.0) {
        ++this->currentBucket(now).extras;
        ++this->extras;
        return true;
    }
    if (!this->borrowed.empty()) {
        --this->borrowed.front().count;
        return true;
    }
    return false;
}

std::uint32_t RetryBudget::lend(const RetryAllowance &allowance, std::size_t instances,
                                std::uint32_t requested, Instant now)
{
    this->removeExpired(allowance.window, now);
    const double available =
            this->allowedExtras(allowance, instances, now) * (1.0 - unlendableFraction)
            - this->extras - this->lentCount;
    const std::uint32_t count =
            available < 1.0 ? 0 : std::min(requested, static_cast<std::uint32_t>(available));
    if (count > 0) {
        // The borrower may spend the loan until it expires, and the spent arrivals then count for
        // one more window.
        this->lent.push_back({count, now + loanLifetime + allowance.window + bucketLength});
        this->lentCount += count;
    }
    return count;
}

} // namespace lagoondeck
