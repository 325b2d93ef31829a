#pragma once

#include "core/store_change.h"
#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

/// The members among which fleet-wide limits are divided: the registered ones, and those whose
/// registration was removed a short time ago.
///
/// Registrations expire while the store is away, and the members register again after it is back.
/// An instance that took the few registered ones for the whole fleet would use the shares of
/// instances that are still running.
class RecentMembers
{
public:
    /// Takes over the registered members. Returns true if the recent ones have changed.
    bool update(const std::map<std::string, MemberRecord> &registered, Instant now);
    std::vector<MemberRecord> all() const;
    std::size_t size() const { return this->members.size(); }

private:
    struct Member
    {
        MemberRecord record;
        Instant registeredAt {};
    };

    std::map<std::string, Member> members;
};

} // namespace lagoondeck
