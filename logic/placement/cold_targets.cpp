#include "logic/placement/cold_targets.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// The targets of a failure domain that returns register within this time of each other: they renew
/// their entries every few seconds, and failed calls to the store are repeated after one.
constexpr Duration domainReturnTime = std::chrono::seconds(30);
/// An entry that is written again this long after it was removed counts as that of a new process.
constexpr Duration removedProcessMemory = std::chrono::minutes(10);
/// The time that an entry states is rounded and was valid when it was written.
constexpr Duration entryTolerance = std::chrono::seconds(2);

} // namespace

void ColdTargets::extend(const TargetId &target, Instant until)
{
    Instant &known = this->coldUntil[target];
    known = std::max(known, until);
}

void ColdTargets::makeCold(const TargetRecord &record, Instant now)
{
    if (const auto limit = this->limits.find(record.group); limit != this->limits.end()) {
        this->extend(record.id, now + limit->second.warmup);
    }
}

void ColdTargets::onEntry(const TargetRecord &record, Instant now)
{
    // The entry may be read before the configuration.
    if (this->isLonger(record, now)) {
        this->extend(record.id, now + record.warmupLeft);
    }
}

bool ColdTargets::isExtendedBy(const TargetRecord &record, Instant now) const
{
    return this->limits.contains(record.group) && this->isLonger(record, now);
}

bool ColdTargets::isLonger(const TargetRecord &record, Instant now) const
{
    const auto known = this->coldUntil.find(record.id);
    return record.warmupLeft > Duration(0)
            && (known == this->coldUntil.end() || known->second <= now
                || now + record.warmupLeft > known->second + entryTolerance);
}

void ColdTargets::onAdded(const TargetRecord &record, Instant now)
{
    Domain &domain = this->domains[record.failureDomain];
    if (domain.wasEmpty && domain.targets == 0) {
        domain.returnedAt = now;
    }
    const bool domainReturns = domain.wasEmpty && now - domain.returnedAt < domainReturnTime;
    ++domain.targets;
    const auto known = this->removed.extract(record.id);
    const bool isKnownProcess = !known.empty() && known.mapped().startedAtMs == record.startedAtMs;
    if (this->isListed && (domainReturns || !isKnownProcess)) {
        this->makeCold(record, now);
    }
    this->onEntry(record, now);
}

void ColdTargets::onRemoved(const TargetRecord &record, Instant now)
{
    Domain &domain = this->domains[record.failureDomain];
    domain.targets -= domain.targets > 0 ? 1 : 0;
    domain.wasEmpty = domain.wasEmpty || domain.targets == 0;
    this->coldUntil.erase(record.id);
    this->removed.insert_or_assign(record.id, RemovedProcess {record.startedAtMs, now});
    if (now - this->cleanedAt > removedProcessMemory) {
        this->cleanedAt = now;
        std::erase_if(this->removed, [now](const auto &entry) {
            return now - entry.second.at > removedProcessMemory;
        });
    }
}

std::optional<ColdTargets::State> ColdTargets::state(const TargetRecord &record, Instant now) const
{
    const auto limit = this->limits.find(record.group);
    const auto known = this->coldUntil.find(record.id);
    if (limit == this->limits.end() || known == this->coldUntil.end() || known->second <= now) {
        return std::nullopt;
    }
    return State {limit->second.requestsPerSecond, known->second};
}

} // namespace lagoondeck
