#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoondeck {

namespace proto {
class DemandTable;
}

/// What a member wants of an entry.
struct Demand
{
    /// Queries a second.
    double rate = 0.0;
    double inFlight = 0.0;

    bool operator==(const Demand &) const = default;
};

/// What each member wants, as far as this node heard. A member makes records of itself; the one of
/// the higher sequence wins.
class DemandTable
{
public:
    using MemberHash = std::uint32_t;

    /// The short form of a member's id in messages.
    static MemberHash hashOf(const InstanceId &id);

    /// Makes a new record of this node.
    void setOwn(MemberHash own, const std::map<EntryName, Demand> &demands, std::uint64_t sequence,
                Instant now);
    void merge(const proto::DemandTable &table, MemberHash own, Instant now);
    void write(proto::DemandTable &table) const;
    /// Forgets members that were not heard since an instant.
    void forgetBefore(Instant instant);

    /// When a member made itself heard for the last time, directly or through others.
    std::optional<Instant> heardAt(MemberHash member) const;
    /// What a member wants of an entry; nothing when it was never heard.
    Demand demandOf(MemberHash member, const EntryName &entry) const;

private:
    struct Record
    {
        std::uint64_t sequence = 0;
        Instant heardAt {};
        std::map<EntryName, Demand> demands;
    };

    std::map<MemberHash, Record> records;
};

} // namespace lagoondeck
