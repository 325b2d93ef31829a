#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoondeck {

/// Recognises that a whole failure domain does not answer this instance, because it has no power or
/// is cut off, and says when its targets may be tried.
///
/// A domain is lost when several of its targets are unreachable or silent within a short time, none
/// of its targets has replied meanwhile, and a target of another domain has. The last condition
/// tells a lost domain from a broken path of this instance, which TargetPath handles. Any reply
/// from the domain removes the evidence, so that single targets that are slow or have crashed don't
/// suffice as long as others in their domain reply.
///
/// While a domain is lost, one of its targets at a time is tried. Replies give the domain back.
class LostDomains
{
public:
    /// Called when a target replied. Returns for how long its domain was lost if it is given back
    /// now.
    std::optional<Duration> onReply(const FailureDomain &domain, const TargetId &target,
                                    Instant now);
    /// Called when no connection to a target could be made, or when the reply to a request that was
    /// sent at the given time is overdue.
    void onFailure(const FailureDomain &domain, const TargetId &target, Instant sentAt,
                   Instant now);
    /// Returns the domains that may be lost now.
    std::vector<FailureDomain> suspects(Instant now) const;
    /// Makes a suspected domain lost if enough of its targets failed. `usableTargets` is the number
    /// of its targets in use. Returns whether it is lost now and was not before.
    bool confirm(const FailureDomain &domain, std::size_t usableTargets, Instant now);
    /// Returns whether the targets of a domain are to be avoided now. False for a lost domain of
    /// which a target may be tried.
    bool isAvoided(const FailureDomain &domain, Instant now) const;
    /// Called when a request is sent to a target of the domain.
    void onSent(const FailureDomain &domain, Instant now);
    /// Returns how many targets failed since the domain replied last.
    std::size_t failedTargets(const FailureDomain &domain, Instant now) const;
    std::size_t lostCount() const;
    /// Forgets everything, because the failures were the fault of something else.
    void clear() { this->domains.clear(); }

private:
    /// The latest failure of a target.
    struct Failure
    {
        Instant sentAt {};
        Instant failedAt {};
    };

    struct Domain
    {
        /// The targets that failed since the domain's last reply.
        std::map<TargetId, Failure> failures;
        std::optional<Instant> repliedAt;
        std::optional<Instant> lostAt;
        /// When the next target may be tried.
        Instant trialAt {};
        /// How many targets were tried since the loss or the last reply.
        std::uint32_t trials = 0;
        /// The targets that replied since the last failure while the domain was lost.
        std::set<TargetId> repliedTargets;
    };

    static std::size_t countRecent(const Domain &domain, Instant now);
    static Duration trialInterval(const Domain &domain);
    bool hasOtherReply(const FailureDomain &domain, Instant since) const;

    std::map<FailureDomain, Domain> domains;
};

} // namespace lagoondeck
