#pragma once

#include "core/store_change.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace lagoondeck {

/// Finds registered members by their peer addresses.
class MemberAddresses
{
public:
    /// Takes over the members by id, unless their revision is the known one.
    void update(const std::map<std::string, MemberRecord> &members, std::uint64_t revision);
    /// Returns null if no member is registered with the address.
    const MemberRecord *find(const std::string &address) const;

private:
    std::unordered_map<std::string, MemberRecord> byAddress;
    std::uint64_t revision = 0;
};

} // namespace lagoondeck
