#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/quarantine/fingerprint.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Registry of the canary runs that this member, as the owner of a fingerprint, has granted. At
/// most one member at a time holds the grant for a fingerprint.
class CanaryGrantRegistry
{
public:
    /// Returns true when the requester holds the grant now. Otherwise it is added to the waiters.
    bool tryAcquire(Fingerprint fingerprint, const InstanceId &requester, Instant now)
    {
        this->removeExpired(now);
        const auto [found, granted] =
                this->grants.try_emplace(fingerprint, Grant {requester, now + grantDuration, {}});
        if (granted || found->second.holder == requester) {
            return true;
        }
        std::deque<InstanceId> &waiters = found->second.waiters;
        if (std::ranges::find(waiters, requester) == waiters.end()) {
            waiters.push_back(requester);
        }
        return false;
    }

    /// Ends the holder's grant and returns the members that requested it in the meantime. Does
    /// nothing when the holder does not hold the grant.
    std::vector<InstanceId> release(Fingerprint fingerprint, const InstanceId &holder)
    {
        const auto found = this->grants.find(fingerprint);
        if (found == this->grants.end() || found->second.holder != holder) {
            return {};
        }
        const std::deque<InstanceId> waiters = std::move(found->second.waiters);
        this->grants.erase(found);
        return {waiters.begin(), waiters.end()};
    }

private:
    struct Grant
    {
        InstanceId holder;
        Instant expiresAt {};
        std::deque<InstanceId> waiters;
    };

    /// Grants expire, so that a lost holder does not block the request for long.
    static constexpr Duration grantDuration = std::chrono::seconds(2);

    void removeExpired(Instant now)
    {
        std::erase_if(this->grants,
                      [now](const auto &item) { return item.second.expiresAt <= now; });
    }

    std::unordered_map<Fingerprint, Grant> grants;
};

} // namespace lagoondeck
