#include "logic/workload/completion_rate.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

/// The rate is measured over at most this many completions: the standard error is then an eighth.
constexpr std::size_t maxSamples = 65;
/// With fewer completions the standard error is more than a quarter, and nothing is concluded.
constexpr std::size_t minSamples = 17;
/// Older completions don't tell how fast capacity becomes free now: a target that failed or became
/// cold has changed that.
constexpr Duration maxSampleAge = std::chrono::seconds(2);
/// How many standard errors the true rate may lie above the measured one.
constexpr double maxDeviation = 2.0;

} // namespace

Duration CompletionRate::waitedUntil(Instant now) const
{
    return this->waitedBefore
            + (this->waitingSince ? Duration(now - *this->waitingSince) : Duration(0));
}

void CompletionRate::setWaiting(bool isWaiting, Instant now)
{
    if (isWaiting && !this->waitingSince) {
        this->waitingSince = now;
    } else if (!isWaiting && this->waitingSince) {
        this->waitedBefore = this->waitedUntil(now);
        this->waitingSince.reset();
    }
}

void CompletionRate::add(Instant now)
{
    if (!this->waitingSince) {
        return;
    }
    this->samples.push_back({now, this->waitedUntil(now)});
    if (this->samples.size() > maxSamples) {
        this->samples.pop_front();
    }
}

std::optional<CompletionRate::Measurement> CompletionRate::measure(Instant now) const
{
    const auto first = std::ranges::lower_bound(this->samples, now - maxSampleAge, {}, &Sample::at);
    const auto count = static_cast<std::size_t>(this->samples.end() - first);
    if (count < minSamples) {
        return std::nullopt;
    }
    const double seconds =
            std::chrono::duration<double>(this->waitedUntil(now) - first->waited).count();
    if (seconds <= 0.0) {
        return std::nullopt;
    }
    return Measurement {static_cast<double>(count - 1), seconds};
}

std::optional<double> CompletionRate::perSecond(Instant now) const
{
    const auto measured = this->measure(now);
    return measured ? std::optional(measured->count / measured->seconds) : std::nullopt;
}

std::optional<double> CompletionRate::maxPerSecond(Instant now) const
{
    const auto measured = this->measure(now);
    return measured ? std::optional((measured->count + maxDeviation * std::sqrt(measured->count))
                                    / measured->seconds)
                    : std::nullopt;
}

} // namespace lagoondeck
