#include "logic/gateway/limit_holders.h"

#include "logic/accounts/rendezvous_rank.h"
#include "logic/gateway/limit_constants.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace lagoondeck {

std::vector<MemberRecord> limitHolders(const std::vector<MemberRecord> &candidates,
                                       const TargetId &target, double perSecond)
{
    const double requests = perSecond * limits::burstTime.count();
    if (requests >= static_cast<double>(candidates.size())) {
        return candidates;
    }
    std::vector<RankedMember> ranked = rendezvousRanks(candidates, target.value);
    const std::size_t count = std::max<std::size_t>(static_cast<std::size_t>(requests), 1);
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater {}, &RankedMember::first);
    std::vector<MemberRecord> holders;
    for (std::size_t i = 0; i < count; ++i) {
        holders.push_back(*ranked[i].second);
    }
    return holders;
}

} // namespace lagoondeck
