#include "logic/accounts/account_holders.h"

#include "logic/accounts/rendezvous_rank.h"

#include <algorithm>
#include <functional>
#include <map>

namespace lagoondeck {

namespace {

/// Sets the ranking of the pool apart from that of an account.
constexpr const char *poolName = "holders of caps";
/// Two more than an account needs in one domain, so that the accounts are spread.
constexpr std::size_t minPoolPerDomain = 3;
/// A holder answers for so many instances at most.
constexpr std::size_t membersPerHolder = 16;

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

/// Returns the members that hold caps. These are few, so that an instance needs connections to few
/// members whatever accounts its callers have.
std::vector<MemberRecord> holderPool(const std::vector<MemberRecord> &members)
{
    std::map<FailureDomain, std::vector<RankedMember>> byDomain;
    for (const RankedMember &member : rendezvousRanks(members, poolName)) {
        byDomain[member.second->failureDomain].push_back(member);
    }
    std::vector<MemberRecord> pool;
    for (auto &[domain, ranked] : byDomain) {
        const std::size_t count = std::min(
                ranked.size(), std::max(minPoolPerDomain, ranked.size() / membersPerHolder));
        std::ranges::sort(ranked, std::greater {}, &RankedMember::first);
        for (std::size_t i = 0; i < count; ++i) {
            pool.push_back(*ranked[i].second);
        }
    }
    return pool;
}

} // namespace

std::vector<MemberRecord> accountHolders(const std::vector<MemberRecord> &members,
                                         const std::string &account)
{
    const std::vector<MemberRecord> pool = holderPool(members);
    const std::vector<RankedMember> ranked = rendezvousRanks(pool, account);
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
