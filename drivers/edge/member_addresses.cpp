#include "drivers/edge/member_addresses.h"

namespace lagoondeck {

void MemberAddresses::update(const std::map<std::string, MemberRecord> &members,
                             std::uint64_t newRevision)
{
    if (newRevision == this->revision) {
        return;
    }
    this->revision = newRevision;
    this->byAddress.clear();
    for (const auto &[id, member] : members) {
        this->byAddress.emplace(member.peerAddress, member);
    }
}

const MemberRecord *MemberAddresses::find(const std::string &address) const
{
    const auto found = this->byAddress.find(address);
    return found == this->byAddress.end() ? nullptr : &found->second;
}

} // namespace lagoondeck
