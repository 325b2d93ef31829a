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

/// One member's demand for an entry.
struct Demand
{
    /// Queries per second.
    double rate = 0.0;
    double inFlight = 0.0;

    bool operator==(const Demand &) const = default;
};

/// The demand of each member, as far as it is known to this instance. Each member publishes records
/// of its own demand; the record with the higher sequence number wins.
class DemandTable
{
public:
    using MemberHash = std::uint32_t;

    /// Returns the short form of a member's id that is used in messages.
    static MemberHash hashOf(const InstanceId &id);

    /// Replaces the record of this instance.
    void setLocalRecord(MemberHash self, const std::map<EntryName, Demand> &demands,
                        std::uint64_t sequence, Instant now);
    void merge(const proto::DemandTable &table, MemberHash self, Instant now);
    void write(proto::DemandTable &table) const;
    /// Removes members without a new record since the given time.
    void removeOlderThan(Instant cutoff);

    /// Returns when the member's latest record arrived, directly or through other members.
    std::optional<Instant> lastHeardAt(MemberHash member) const;
    /// Returns the member's demand for the entry, or zero when there is no record of the member.
    Demand demandOf(MemberHash member, const EntryName &entry) const;

private:
    struct Record
    {
        std::uint64_t sequence = 0;
        Instant lastHeardAt {};
        std::map<EntryName, Demand> demands;
    };

    std::map<MemberHash, Record> records;
};

} // namespace lagoondeck
