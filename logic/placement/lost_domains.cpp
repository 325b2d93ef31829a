#include "logic/placement/lost_domains.h"

#include "logic/gateway/forwarding_constants.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// How many targets of a domain must fail. Two may crash or stall at the same time by chance, or
/// because of the same request; PathEvidence requires as many.
constexpr std::size_t requiredTargets = 3;
/// A domain with fewer targets in use is never lost: a failure of its only target is handled like
/// any other failure of a target.
constexpr std::size_t minTargets = 2;
/// Older failures don't count, because targets fail independently of each other now and then. The
/// same time as for the path of this instance.
constexpr Duration failureLifetime = std::chrono::seconds(2);
/// How long after the loss and after a trial without a reply the next target is tried. The time
/// doubles with each such trial, up to a limit at which an instance that sends 25 requests a second
/// spends 1% of them on trials.
constexpr Duration initialTrialInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t maxDoublings = 3;
/// So many different targets must reply before the domain is given back. One may have been reached
/// before the domain failed again.
constexpr std::size_t requiredReplies = 2;

} // namespace

std::size_t LostDomains::countRecent(const Domain &domain, Instant now)
{
    return static_cast<std::size_t>(
            std::ranges::count_if(domain.failures, [now](const auto &entry) {
                return now - entry.second.failedAt <= failureLifetime;
            }));
}

Duration LostDomains::trialInterval(const Domain &domain)
{
    return initialTrialInterval * (1U << std::min(domain.trials, maxDoublings));
}

std::optional<Duration> LostDomains::onReply(const FailureDomain &domain, const TargetId &target,
                                             Instant now)
{
    Domain &state = this->domains[domain];
    state.repliedAt = now;
    state.failures.clear();
    if (!state.lostAt) {
        return std::nullopt;
    }
    state.repliedTargets.insert(target);
    if (state.repliedTargets.size() < requiredReplies) {
        // The next target is tried at once.
        state.trials = 0;
        state.trialAt = now;
        return std::nullopt;
    }
    const Duration length = now - *state.lostAt;
    state = Domain {{}, now};
    return length;
}

void LostDomains::onFailure(const FailureDomain &domain, const TargetId &target, Instant sentAt,
                            Instant now)
{
    Domain &state = this->domains[domain];
    if (state.repliedAt && *state.repliedAt >= sentAt) {
        // Other targets of the domain replied since this one was asked: it fails by itself.
        return;
    }
    state.failures.insert_or_assign(target, Failure {sentAt, now});
    if (state.lostAt && sentAt >= *state.lostAt) {
        state.repliedTargets.clear();
    }
}

bool LostDomains::hasOtherReply(const FailureDomain &domain, Instant since) const
{
    return std::ranges::any_of(this->domains, [&](const auto &entry) {
        const auto &[other, state] = entry;
        return other != domain && !state.lostAt && state.repliedAt && *state.repliedAt >= since;
    });
}

std::vector<FailureDomain> LostDomains::suspects(Instant now) const
{
    std::vector<FailureDomain> suspects;
    for (const auto &[domain, state] : this->domains) {
        if (state.lostAt || countRecent(state, now) < minTargets) {
            continue;
        }
        Instant firstSent = now;
        Instant firstFailed = now;
        for (const auto &[target, failure] : state.failures) {
            if (now - failure.failedAt <= failureLifetime) {
                firstSent = std::min(firstSent, failure.sentAt);
                firstFailed = std::min(firstFailed, failure.failedAt);
            }
        }
        // Connections are refused sooner than other targets of the domain can reply.
        if (now - firstSent >= forwarding::minSilence && this->hasOtherReply(domain, firstFailed)) {
            suspects.push_back(domain);
        }
    }
    return suspects;
}

bool LostDomains::confirm(const FailureDomain &domain, std::size_t usableTargets, Instant now)
{
    const auto found = this->domains.find(domain);
    if (found == this->domains.end() || found->second.lostAt || usableTargets < minTargets
        || countRecent(found->second, now) < std::min(requiredTargets, usableTargets)) {
        return false;
    }
    Domain &state = found->second;
    state.lostAt = now;
    state.trials = 0;
    state.trialAt = now + trialInterval(state);
    return true;
}

bool LostDomains::isAvoided(const FailureDomain &domain, Instant now) const
{
    const auto found = this->domains.find(domain);
    return found != this->domains.end() && found->second.lostAt && now < found->second.trialAt;
}

void LostDomains::onSent(const FailureDomain &domain, Instant now)
{
    const auto found = this->domains.find(domain);
    if (found != this->domains.end() && found->second.lostAt) {
        // No other target is tried until this one replies or has had its time.
        ++found->second.trials;
        found->second.trialAt = now + trialInterval(found->second);
    }
}

std::size_t LostDomains::failedTargets(const FailureDomain &domain, Instant now) const
{
    const auto found = this->domains.find(domain);
    return found == this->domains.end() ? 0 : countRecent(found->second, now);
}

std::size_t LostDomains::lostCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            this->domains, [](const auto &entry) { return entry.second.lostAt.has_value(); }));
}

} // namespace lagoondeck
