#include "logic/quarantine/suspect_tracker.h"

#include "proto/peer.pb.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr Duration recordLifetime = std::chrono::minutes(5);
/// A request is refused for this long after it lost a target: its record reaches the peers in this
/// time, and callers that retry at once cause no further losses.
constexpr Duration coolingPeriod = std::chrono::milliseconds(500);
constexpr std::size_t maxSuspects = 4096;
/// The maximum number of targets and of queries per record; more names would add no evidence.
constexpr std::size_t maxNames = 8;
constexpr std::size_t maxRecordsInMessage = 8;

void insertBounded(std::set<std::string> &names, const std::string &name)
{
    if (names.size() < maxNames) {
        names.insert(name);
    }
}

} // namespace

Suspicion SuspectTracker::suspicion(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.expiresAt <= now) {
        return Suspicion::None;
    }
    if (found->second.isQuarantined()) {
        return Suspicion::Quarantined;
    }
    const bool cooling = now - found->second.lastLossAt < coolingPeriod;
    return cooling ? Suspicion::Cooling : Suspicion::Suspect;
}

SuspectTracker::Suspect &SuspectTracker::suspectOf(Fingerprint fingerprint)
{
    if (!this->suspects.contains(fingerprint) && this->suspects.size() >= maxSuspects) {
        this->suspects.erase(std::ranges::min_element(
                this->suspects, {}, [](const auto &item) { return item.second.expiresAt; }));
    }
    return this->suspects[fingerprint];
}

void SuspectTracker::recordLoss(Fingerprint fingerprint, const TargetId &target,
                                const std::string &query, Instant now)
{
    Suspect &suspect = this->suspectOf(fingerprint);
    insertBounded(suspect.targets, target.value);
    insertBounded(suspect.queries, query);
    suspect.lastLossAt = now;
    suspect.expiresAt = now + recordLifetime;
}

void SuspectTracker::clear(Fingerprint fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    if (found != this->suspects.end() && !found->second.isQuarantined()) {
        this->suspects.erase(found);
    }
}

bool SuspectTracker::merge(const proto::QuarantineRecord &record, Instant now)
{
    const Duration remaining = std::min(Duration(record.time_to_live_us()), recordLifetime);
    if (remaining <= Duration(0)) {
        return false;
    }
    Suspect &suspect = this->suspectOf(Fingerprint(record.fingerprint()));
    const std::size_t countBefore = suspect.targets.size() + suspect.queries.size();
    for (const std::string &target : record.targets()) {
        insertBounded(suspect.targets, target);
    }
    for (const std::string &query : record.queries()) {
        insertBounded(suspect.queries, query);
    }
    const bool isNew = suspect.targets.size() + suspect.queries.size() > countBefore;
    // A record that returns by gossip without new evidence must not have its lifetime extended.
    if (isNew) {
        suspect.expiresAt = std::max(suspect.expiresAt, now + remaining);
        suspect.lastLossAt = std::max(suspect.lastLossAt, now - (recordLifetime - remaining));
    }
    return isNew;
}

void SuspectTracker::removeExpired(Instant now)
{
    std::erase_if(this->suspects, [now](const auto &item) { return item.second.expiresAt <= now; });
}

void SuspectTracker::writeRecord(Fingerprint fingerprint, proto::PeerMessage &message,
                                 Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.expiresAt <= now) {
        return;
    }
    proto::QuarantineRecord *record = message.add_quarantine();
    record->set_fingerprint(fingerprint.value);
    record->set_time_to_live_us((found->second.expiresAt - now).count());
    for (const std::string &target : found->second.targets) {
        record->add_targets(target);
    }
    for (const std::string &query : found->second.queries) {
        record->add_queries(query);
    }
}

void SuspectTracker::writeLatestRecords(proto::PeerMessage &message, Instant now) const
{
    std::vector<std::pair<Instant, Fingerprint>> latest;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        latest.emplace_back(suspect.expiresAt, fingerprint);
    }
    const std::size_t count = std::min(latest.size(), maxRecordsInMessage);
    std::ranges::partial_sort(latest, latest.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater {});
    for (std::size_t i = 0; i < count; ++i) {
        this->writeRecord(latest[i].second, message, now);
    }
}

} // namespace lagoondeck
