#include "logic/shares/demand_table.h"

#include "proto/peer.pb.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <xxhash.h>

namespace lagoondeck {

namespace {

constexpr double rateScale = 10.0;
constexpr double maxWireValue = 4e9;

std::uint32_t toWireInteger(double value)
{
    return static_cast<std::uint32_t>(std::clamp(std::ceil(value), 0.0, maxWireValue));
}

/// Returns true when the parallel arrays of the table have matching sizes. Other tables are
/// ignored.
bool hasMatchingSizes(const proto::DemandTable &table)
{
    return table.members_size() == table.sequences_size()
            && std::ranges::all_of(table.entries(), [&](const proto::EntryDemand &entry) {
                   return !entry.entry().empty() && entry.rate_tenths_size() == table.members_size()
                           && entry.in_flight_size() == table.members_size();
               });
}

} // namespace

DemandTable::MemberHash DemandTable::hashOf(const InstanceId &id)
{
    return static_cast<MemberHash>(XXH3_64bits(id.value.data(), id.value.size()));
}

void DemandTable::setLocalRecord(MemberHash self, const std::map<EntryName, Demand> &demands,
                                 std::uint64_t sequence, Instant now)
{
    this->records[self] = {sequence, now, demands};
}

void DemandTable::merge(const proto::DemandTable &table, MemberHash self, Instant now)
{
    if (!hasMatchingSizes(table)) {
        return;
    }
    for (int i = 0; i < table.members_size(); ++i) {
        Record &record = this->records[table.members(i)];
        if (table.members(i) == self || table.sequences(i) <= record.sequence) {
            continue;
        }
        record = {table.sequences(i), now, {}};
        for (const proto::EntryDemand &entry : table.entries()) {
            const Demand demand {entry.rate_tenths(i) / rateScale,
                                 static_cast<double>(entry.in_flight(i))};
            if (demand != Demand {}) {
                record.demands.emplace(EntryName(entry.entry()), demand);
            }
        }
    }
}

void DemandTable::write(proto::DemandTable &table) const
{
    std::set<EntryName> entries;
    for (const auto &[member, record] : this->records) {
        table.add_members(member);
        table.add_sequences(record.sequence);
        for (const auto &[entry, demand] : record.demands) {
            entries.insert(entry);
        }
    }
    for (const EntryName &entry : entries) {
        proto::EntryDemand &written = *table.add_entries();
        written.set_entry(entry.value);
        for (const auto &[member, record] : this->records) {
            const Demand demand = this->demandOf(member, entry);
            written.add_rate_tenths(toWireInteger(demand.rate * rateScale));
            written.add_in_flight(toWireInteger(demand.inFlight));
        }
    }
}

void DemandTable::removeOlderThan(Instant cutoff)
{
    std::erase_if(this->records,
                  [cutoff](const auto &item) { return item.second.lastHeardAt < cutoff; });
}

std::optional<Instant> DemandTable::lastHeardAt(MemberHash member) const
{
    const auto found = this->records.find(member);
    return found == this->records.end() ? std::nullopt : std::optional(found->second.lastHeardAt);
}

Demand DemandTable::demandOf(MemberHash member, const EntryName &entry) const
{
    const auto record = this->records.find(member);
    if (record == this->records.end()) {
        return {};
    }
    const auto demand = record->second.demands.find(entry);
    return demand == record->second.demands.end() ? Demand {} : demand->second;
}

} // namespace lagoondeck
