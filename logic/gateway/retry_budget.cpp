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
/// The part of what a window earns that an instance keeps for itself when others ask.
constexpr double keptFromLoans = 0.3;

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
    if (earned * (1.0 - reservedPart) - this->extras - this->lentCount >= 1.0) {
        ++this->current(now).extras;
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
                                std::uint32_t wanted, Instant now)
{
    this->forget(allowance.window, now);
    const double left = this->earned(allowance, instances, now) * (1.0 - keptFromLoans)
            - this->extras - this->lentCount;
    const std::uint32_t count = left < 1.0 ? 0 : std::min(wanted, static_cast<std::uint32_t>(left));
    if (count > 0) {
        // The borrower may use it last at the end of the loan, and it counts for a window then.
        this->lent.push_back({count, now + loanTime + allowance.window + spanLength});
        this->lentCount += count;
    }
    return count;
}

} // namespace lagoondeck
