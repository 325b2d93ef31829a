#include "logic/catalogue/catalogue_records.h"

#include "proto/peer.pb.h"

namespace lagoondeck {

void writeRecord(const CatalogueEntry &entry, proto::EntryRecord &record)
{
    record.set_name(entry.name.value);
    record.set_owner(entry.owner);
    record.set_traffic_class(entry.trafficClass);
    record.set_service(entry.service.value);
    record.set_rate_per_second(entry.ratePerSecond);
    record.set_concurrency(entry.concurrency);
    record.set_priority(entry.priority);
    record.set_deadline_us(entry.deadline.count());
    record.set_minimum_coverage(entry.minimumCoverage);
    record.set_hedge_budget(entry.hedgeBudget);
    record.set_canary(entry.canary);
    record.set_merge(entry.merge == MergeKind::TopK ? 1 : 0);
    record.set_top_k(entry.topK);
}

void writeRecord(const CatalogueChange &change, proto::ChangeRecord &record)
{
    record.set_revision(change.revision.value);
    record.set_change_id(change.changeId);
    record.set_author(change.author);
    record.set_accepted_at_us(change.acceptedAt.time_since_epoch().count());
    record.set_name(change.name.value);
    record.set_deleted(!change.entry.has_value());
    if (change.entry) {
        writeRecord(*change.entry, *record.mutable_entry());
    }
}

std::optional<CatalogueEntry> readRecord(const proto::EntryRecord &record)
{
    if (record.name().empty() || record.deadline_us() <= 0) {
        return std::nullopt;
    }
    CatalogueEntry entry;
    entry.name = EntryName(record.name());
    entry.owner = record.owner();
    entry.trafficClass = record.traffic_class();
    entry.service = ServiceName(record.service());
    entry.ratePerSecond = record.rate_per_second();
    entry.concurrency = record.concurrency();
    entry.priority = record.priority();
    entry.deadline = Duration(record.deadline_us());
    entry.minimumCoverage = record.minimum_coverage();
    entry.hedgeBudget = record.hedge_budget();
    entry.canary = record.canary();
    entry.merge = record.merge() == 1 ? MergeKind::TopK : MergeKind::Concatenate;
    entry.topK = record.top_k();
    return entry;
}

std::optional<CatalogueChange> readRecord(const proto::ChangeRecord &record)
{
    if (record.revision() == 0 || record.name().empty()) {
        return std::nullopt;
    }
    CatalogueChange change;
    change.revision = Revision(record.revision());
    change.changeId = record.change_id();
    change.author = record.author();
    change.acceptedAt = WallTime(Duration(record.accepted_at_us()));
    change.name = EntryName(record.name());
    if (!record.deleted()) {
        change.entry = readRecord(record.entry());
        if (!change.entry || change.entry->name != change.name) {
            return std::nullopt;
        }
    }
    return change;
}

} // namespace lagoondeck
