#include "logic/accounts/account_holders.h"

#include "logic/accounts/rendezvous_rank.h"

#include <algorithm>
#include <functional>

namespace lagoondeck {

namespace {

/// Returns true if the member may be added to the holders.
bool mayHold(const MemberRecord &member, const std::vector<MemberRecord> &holders,
             bool isDomainShared)
{
    return std::ranges::none_of(holders, [&](const MemberRecord &holder) {
        return holder.id == member.id
                || (!isDomainShared && holder.failureDomain == member.failureDomain);
    });
}

/// Returns the member with the highest rank that may be added, or null if there is none.
const MemberRecord *nextHolder(const std::vector<RankedMember> &ranked,
                               const std::vector<MemberRecord> &holders, bool isDomainShared)
{
    const RankedMember *best = nullptr;
    for (const RankedMember &candidate : ranked) {
        if ((best == nullptr || candidate.first > best->first)
            && mayHold(*candidate.second, holders, isDomainShared)) {
            best = &candidate;
        }
    }
    return best == nullptr ? nullptr : best->second;
}

} // namespace

std::vector<MemberRecord> accountHolders(const std::vector<MemberRecord> &members,
                                         const std::string &account)
{
    const std::vector<RankedMember> ranked = rendezvousRanks(members, account);
    std::vector<MemberRecord> holders;
    while (holders.size() < accountHolderCount) {
        const MemberRecord *next = nextHolder(ranked, holders, false);
        if (next == nullptr) {
            next = nextHolder(ranked, holders, true);
        }
        if (next == nullptr) {
            break;
        }
        holders.push_back(*next);
    }
    return holders;
}

} // namespace lagoondeck
