#include "logic/gateway/withdrawn_targets.h"

namespace lagoondeck {

namespace {

/// Withdrawals before the oldest copy that may be restored are forgotten.
constexpr Duration maxCopyAge = std::chrono::minutes(2);
constexpr Duration cleaningInterval = std::chrono::seconds(10);

} // namespace

void WithdrawnTargets::add(const TargetId &target, std::int64_t startedAtMs, Instant now)
{
    this->withdrawals.insert_or_assign(target, Withdrawal {startedAtMs, now});
    this->heldBack.erase(target);
    if (now - this->cleanedAt >= cleaningInterval) {
        this->cleanedAt = now;
        std::erase_if(this->withdrawals,
                      [now](const auto &entry) { return now - entry.second.at > maxCopyAge; });
    }
}

bool WithdrawnTargets::holdsBack(const TargetRecord &listed, Instant now)
{
    const auto found = this->withdrawals.find(listed.id);
    const bool isOlder = found != this->withdrawals.end() && !listed.leaving
            && now < this->doubtfulUntil && listed.startedAtMs <= found->second.startedAtMs;
    if (isOlder) {
        this->heldBack.insert(listed.id);
    }
    return isOlder;
}

void WithdrawnTargets::onWritten(const TargetId &target)
{
    this->withdrawals.erase(target);
    this->heldBack.erase(target);
}

std::vector<TargetId> WithdrawnTargets::takeReleased(Instant now)
{
    if (now < this->nextRelease()) {
        return {};
    }
    std::vector<TargetId> released(this->heldBack.begin(), this->heldBack.end());
    this->heldBack.clear();
    return released;
}

Instant WithdrawnTargets::nextRelease() const
{
    return this->heldBack.empty() ? Instant::max() : this->doubtfulUntil;
}

} // namespace lagoondeck
