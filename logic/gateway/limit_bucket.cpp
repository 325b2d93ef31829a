#include "logic/gateway/limit_bucket.h"

#include "logic/gateway/limit_constants.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// The fraction of the capacity that a new bucket holds.
constexpr double initialFill = 0.5;

} // namespace

double LimitBucket::capacity() const
{
    return this->perSecond > 0.0 ? std::max(this->perSecond * limits::burstTime.count(), 1.0) : 0.0;
}

double LimitBucket::tokensAt(Instant now) const
{
    const std::chrono::duration<double> elapsed = now - this->refilledAt;
    return std::min(this->tokens + elapsed.count() * this->perSecond, this->capacity());
}

void LimitBucket::setRate(double rate, Instant now)
{
    const bool isNew = this->refilledAt == Instant();
    this->tokens = this->tokensAt(now);
    this->refilledAt = now;
    this->perSecond = rate;
    if (isNew) {
        this->tokens = initialFill * this->capacity();
    }
}

bool LimitBucket::allows(double reserve, Instant now) const
{
    return this->tokensAt(now) >= 1.0 + reserve;
}

void LimitBucket::spend(Instant now)
{
    this->tokens = this->tokensAt(now) - 1.0;
    this->refilledAt = now;
}

} // namespace lagoondeck
