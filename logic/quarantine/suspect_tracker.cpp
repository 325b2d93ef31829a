#include "logic/quarantine/suspect_book.h"

#include "proto/peer.pb.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr Duration recordTime = std::chrono::minutes(5);
/// Time for the word to spread and for callers that repeat at once.
constexpr Duration coolingTime = std::chrono::milliseconds(500);
constexpr std::size_t mostSuspects = 4096;
/// More names of one record show nothing more.
constexpr std::size_t mostNames = 8;
constexpr std::size_t mostInMessage = 8;

void insertBounded(std::set<std::string> &names, const std::string &name)
{
    if (names.size() < mostNames) {
        names.insert(name);
    }
}

} // namespace

Suspicion SuspectBook::suspicion(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.until <= now) {
        return Suspicion::None;
    }
    if (found->second.quarantined()) {
        return Suspicion::Quarantined;
    }
    const bool cooling = now - found->second.lastLossAt < coolingTime;
    return cooling ? Suspicion::Cooling : Suspicion::Suspect;
}

SuspectBook::Suspect &SuspectBook::entryOf(Fingerprint fingerprint)
{
    if (!this->suspects.contains(fingerprint) && this->suspects.size() >= mostSuspects) {
        this->suspects.erase(std::ranges::min_element(
                this->suspects, {}, [](const auto &item) { return item.second.until; }));
    }
    return this->suspects[fingerprint];
}

void SuspectBook::addLoss(Fingerprint fingerprint, const TargetId &target, const std::string &query,
                          Instant now)
{
    Suspect &suspect = this->entryOf(fingerprint);
    insertBounded(suspect.targets, target.value);
    insertBounded(suspect.queries, query);
    suspect.lastLossAt = now;
    suspect.until = now + recordTime;
}

void SuspectBook::clear(Fingerprint fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    if (found != this->suspects.end() && !found->second.quarantined()) {
        this->suspects.erase(found);
    }
}

bool SuspectBook::merge(const proto::QuarantineRecord &record, Instant now)
{
    const Duration left = std::min(Duration(record.time_to_live_us()), recordTime);
    if (left <= Duration(0)) {
        return false;
    }
    Suspect &suspect = this->entryOf(Fingerprint(record.fingerprint()));
    const std::size_t before = suspect.targets.size() + suspect.queries.size();
    for (const std::string &target : record.targets()) {
        insertBounded(suspect.targets, target);
    }
    for (const std::string &query : record.queries()) {
        insertBounded(suspect.queries, query);
    }
    const bool news = suspect.targets.size() + suspect.queries.size() > before;
    // A record that only comes round again must not live longer by it.
    if (news) {
        suspect.until = std::max(suspect.until, now + left);
        suspect.lastLossAt = std::max(suspect.lastLossAt, now - (recordTime - left));
    }
    return news;
}

void SuspectBook::expire(Instant now)
{
    std::erase_if(this->suspects, [now](const auto &item) { return item.second.until <= now; });
}

void SuspectBook::fillOne(Fingerprint fingerprint, proto::PeerMessage &message, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.until <= now) {
        return;
    }
    proto::QuarantineRecord *record = message.add_quarantine();
    record->set_fingerprint(fingerprint.value);
    record->set_time_to_live_us((found->second.until - now).count());
    for (const std::string &target : found->second.targets) {
        record->add_targets(target);
    }
    for (const std::string &query : found->second.queries) {
        record->add_queries(query);
    }
}

void SuspectBook::fill(proto::PeerMessage &message, Instant now) const
{
    std::vector<std::pair<Instant, Fingerprint>> latest;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        latest.emplace_back(suspect.until, fingerprint);
    }
    const std::size_t count = std::min(latest.size(), mostInMessage);
    std::ranges::partial_sort(latest, latest.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater {});
    for (std::size_t i = 0; i < count; ++i) {
        this->fillOne(latest[i].second, message, now);
    }
}

} // namespace lagoondeck
