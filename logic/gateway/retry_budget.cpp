#include "logic/gateway/retry_budget.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// The resolution of the sliding window.
constexpr Duration spanLength = std::chrono::milliseconds(200);
/// The part of the slack that is divided; the rest covers views that differ and restarts, after
/// which an instance has forgotten what it spent.
constexpr double dividedPart = 0.7;
/// The part of the ratio that is used; the rest covers spans that reach over the window's edge and
/// requests whose callers gave up before they were counted elsewhere.
constexpr double usedRatio = 0.92;

} // namespace

RetryBudget::Span &RetryBudget::current(Instant now)
{
    if (this->spans.empty() || now - this->spans.back().since >= spanLength) {
        this->spans.push_back({now});
    }
    return this->spans.back();
}

void RetryBudget::forget(Duration window, Instant now)
{
    while (!this->spans.empty() && now - this->spans.front().since > window + spanLength) {
        this->requests -= this->spans.front().requests;
        this->extras -= this->spans.front().extras;
        this->spans.pop_front();
    }
}

void RetryBudget::onRequest(Instant now)
{
    ++this->current(now).requests;
    ++this->requests;
}

double RetryBudget::earned(const RetryAllowance &allowance, std::size_t instances,
                           Instant now) const
{
    const double share = now < this->slackFrom ? 0.0
                                               : allowance.slack * dividedPart
                    / static_cast<double>(std::max<std::size_t>(instances, 1));
    return allowance.ratio * usedRatio * this->requests + share;
}

bool RetryBudget::take(const RetryAllowance &allowance, std::size_t instances, double reservedPart,
                       Instant now)
{
    this->forget(allowance.window, now);
    const double earned = this->earned(allowance, instances, now);
    if (earned * (1.0 - reservedPart) - this->extras < 1.0) {
        return false;
    }
    ++this->current(now).extras;
    ++this->extras;
    return true;
}

} // namespace lagoondeck
