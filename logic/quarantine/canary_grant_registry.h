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

/// The owner's side: lets one member at a time try an unseen request.
class CanaryGrants
{
public:
    /// Grants the try, or notes who asks.
    bool ask(Fingerprint fingerprint, const InstanceId &asker, Instant now)
    {
        this->expire(now);
        const auto [found, granted] =
                this->grants.try_emplace(fingerprint, Grant {asker, now + grantTime, {}});
        if (granted || found->second.holder == asker) {
            return true;
        }
        std::deque<InstanceId> &askers = found->second.askers;
        if (std::ranges::find(askers, asker) == askers.end()) {
            askers.push_back(asker);
        }
        return false;
    }

    /// The holder's try is over. Returns who asked meanwhile.
    std::vector<InstanceId> end(Fingerprint fingerprint, const InstanceId &holder)
    {
        const auto found = this->grants.find(fingerprint);
        if (found == this->grants.end() || found->second.holder != holder) {
            return {};
        }
        const std::deque<InstanceId> askers = std::move(found->second.askers);
        this->grants.erase(found);
        return {askers.begin(), askers.end()};
    }

private:
    struct Grant
    {
        InstanceId holder;
        Instant until {};
        std::deque<InstanceId> askers;
    };

    /// A holder that is lost must not block the request for long.
    static constexpr Duration grantTime = std::chrono::seconds(2);

    void expire(Instant now)
    {
        std::erase_if(this->grants, [now](const auto &item) { return item.second.until <= now; });
    }

    std::unordered_map<Fingerprint, Grant> grants;
};

} // namespace lagoondeck
