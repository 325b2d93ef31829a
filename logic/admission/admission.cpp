#include "logic/admission/admission.h"

#include "logic/context.h"
#include "logic/events.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lagoondeck {

namespace {

/// An entry counts as overloaded for this long after it refused a query.
constexpr Duration overloadWindow = std::chrono::milliseconds(500);
constexpr Duration minRetryAfter = std::chrono::milliseconds(200);
constexpr Duration maxRetryAfter = std::chrono::seconds(5);
/// The token bucket holds the queries that the rate allows in this time.
constexpr double burstSeconds = 0.25;

/// Returns true when the answer shows that the service could not keep up with its load.
bool indicatesOverload(const Answer &answer)
{
    return answer.reason == FailureReason::DeadlinePassed
            || answer.reason == FailureReason::Overloaded
            || answer.reason == FailureReason::BelowMinimumCoverage;
}

Duration effectiveTimeLimit(const CallerRequest &request, const CatalogueEntry &entry)
{
    return request.timeLimit.count() > 0 ? std::min(request.timeLimit, entry.deadline)
                                         : entry.deadline;
}

} // namespace

Admission::Admission(Policy policy, LimitsProvider limitsProvider)
    : policy(policy), limitsProvider(std::move(limitsProvider))
{ }

Admission::EntryLoad &Admission::loadOf(const CatalogueEntry &entry, Instant now)
{
    EntryLoad &load = this->loads[entry.name];
    if (load.inFlight == 0) {
        // Queries in flight are released under the service and priority they were admitted with, so
        // both change only when none is in flight.
        load.service = entry.service;
        load.priority = entry.priority;
    }
    load.deadline = entry.deadline;
    load.lastOfferedAt = now;
    return load;
}

std::optional<Refusal> Admission::admit(const CallerRequest &request, const CatalogueEntry &entry,
                                        Context &context)
{
    EntryLoad &load = this->loadOf(entry, context.now);
    ServiceLoad &service = this->services[load.service];
    load.offered.add(1.0, context.now);
    load.callers.onOffered(request.caller, context.now);
    service.onOffered(load.priority, context.now);
    if (this->policy.admissionControl) {
        if (const auto reason = this->refusalReason(request, entry, load, context)) {
            return this->refuse(load, *reason, context);
        }
    }
    ++load.inFlight;
    load.callers.onAdmitted(request.caller, context.now);
    service.onAdmitted(load.priority);
    return std::nullopt;
}

std::optional<FailureReason> Admission::refusalReason(const CallerRequest &request,
                                                      const CatalogueEntry &entry, EntryLoad &load,
                                                      Context &context)
{
    const ServiceLoad &service = this->services[load.service];
    const Duration timeLimit = effectiveTimeLimit(request, entry);
    if (service.isTimeLimitInfeasible(timeLimit)) {
        return FailureReason::DeadlineTooShort;
    }
    const bool fits = service.expectedLatency(context.now) <= timeLimit
            && service.allows(load.priority, context.now, context.random);
    if (!fits
        || (service.isNearLimit() && !load.callers.isWithinShare(request.caller, context.now))) {
        return FailureReason::Overloaded;
    }
    return this->exceededLimit(entry, load, context.now);
}

std::optional<FailureReason> Admission::exceededLimit(const CatalogueEntry &entry, EntryLoad &load,
                                                      Instant now) const
{
    const NodeLimits share = this->limitsProvider
            ? this->limitsProvider(entry)
            : NodeLimits {entry.ratePerSecond, entry.concurrency};
    // A share below one still admits one query at a time.
    if (load.inFlight >= std::max(share.concurrency, 1U)) {
        return FailureReason::ConcurrencyLimited;
    }
    const double burst = std::max(1.0, share.ratePerSecond * burstSeconds);
    if (!load.rateLimiter.tryTake(share.ratePerSecond, burst, now)) {
        return FailureReason::RateLimited;
    }
    return std::nullopt;
}

Refusal Admission::refuse(EntryLoad &load, FailureReason reason, Context &context) const
{
    load.lastRefusedAt = context.now;
    load.refused.add(1.0, context.now);
    if (reason == FailureReason::DeadlineTooShort) {
        return {reason, Duration::zero()};
    }
    const double refused = load.refused.at(context.now);
    const double admitted = std::max(load.offered.at(context.now) - refused, 1.0);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    const double wait = static_cast<double>(minRetryAfter.count()) * (1.0 + refused / admitted)
            * jitter(context.random);
    return {reason, std::min(Duration(static_cast<Duration::rep>(wait)), maxRetryAfter)};
}

void Admission::onFinished(const EntryName &entry, const Answer &answer, Context &context)
{
    const auto found = this->loads.find(entry);
    if (found == this->loads.end() || found->second.inFlight == 0) {
        return;
    }
    EntryLoad &load = found->second;
    ServiceLoad &service = this->services[load.service];
    --load.inFlight;
    if (answer.outcome == Outcome::Answered) {
        service.onAnswered(load.priority, answer.elapsed, load.deadline, context.now);
    } else if (indicatesOverload(answer)) {
        service.onMissed(load.priority);
    } else {
        service.onEnded(load.priority);
    }
}

bool Admission::isOverloaded(const EntryName &entry) const
{
    const auto found = this->loads.find(entry);
    if (found == this->loads.end()) {
        return false;
    }
    const EntryLoad &load = found->second;
    return load.lastRefusedAt && load.lastOfferedAt - *load.lastRefusedAt < overloadWindow;
}

std::uint32_t Admission::inFlight(const EntryName &entry) const
{
    const auto found = this->loads.find(entry);
    return found == this->loads.end() ? 0 : found->second.inFlight;
}

double Admission::offeredRate(const EntryName &entry, Instant now) const
{
    const auto found = this->loads.find(entry);
    return found == this->loads.end() ? 0.0 : found->second.offered.at(now);
}

double Admission::offeredConcurrency(const EntryName &entry, Instant now) const
{
    const auto found = this->loads.find(entry);
    if (found == this->loads.end()) {
        return 0.0;
    }
    const auto service = this->services.find(found->second.service);
    const std::chrono::duration<double> latency = service == this->services.end()
            ? Duration::zero()
            : service->second.expectedLatency(now);
    return std::max(found->second.offered.at(now) * latency.count(),
                    static_cast<double>(found->second.inFlight));
}

} // namespace lagoondeck
