#include "logic/gateway/limit_bucket.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// The fraction of the capacity that a new bucket holds.
constexpr double initialFill = 0.5;

} // namespace

double LimitBucket::tokensAt(Instant now) const
{
    const std::chrono::duration<double> elapsed = now - this->refilledAt;
    return std::min(this->tokens + elapsed.count() * this->perSecond, this->maxTokens);
}

void LimitBucket::setShare(double rate, double newCapacity, Instant now)
{
    const bool isNew = this->refilledAt == Instant();
    this->tokens = this->tokensAt(now);
    this->refilledAt = now;
    this->perSecond = rate;
    this->maxTokens = newCapacity;
    if (isNew) {
        this->tokens = initialFill * newCapacity;
    }
}

bool LimitBucket::allows(double reserve, Instant now) const
{
    return this->hasLoan(now) || this->tokensAt(now) >= 1.0 + reserve;
}

bool LimitBucket::hasLoan(Instant now) const
{
    return std::ranges::any_of(this->borrowed,
                               [now](const Loan &loan) { return now < loan.until; });
}

std::uint32_t LimitBucket::lend(std::uint32_t requested, double reserve, Instant now)
{
    const double available = std::max(this->tokensAt(now) - reserve, 0.0);
    const std::uint32_t count = std::min(requested, static_cast<std::uint32_t>(available));
    this->tokens = this->tokensAt(now) - count;
    this->refilledAt = now;
    return count;
}

void LimitBucket::borrow(std::uint32_t count, Instant until)
{
    if (count > 0) {
        this->borrowed.push_back({count, until});
    }
}

void LimitBucket::spend(Instant now)
{
    std::erase_if(this->borrowed, [now](const Loan &loan) { return now >= loan.until; });
    if (!this->borrowed.empty()) {
        if (--this->borrowed.front().count == 0) {
            this->borrowed.pop_front();
        }
        return;
    }
    this->tokens = this->tokensAt(now) - 1.0;
    this->refilledAt = now;
}

} // namespace lagoondeck
