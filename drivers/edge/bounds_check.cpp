#include "drivers/edge/bounds_check.h"

#include "core/os/descriptor_count.h"
#include "drivers/edge/http_listener.h"
#include "drivers/edge/target_links.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lagoondeck {

namespace {

/// Counting the open descriptors takes about a millisecond for thousands of them.
constexpr Duration checkInterval = std::chrono::seconds(1);

auto countField(std::string name, std::uint64_t value)
{
    return numberField(std::move(name), static_cast<std::int64_t>(value));
}

} // namespace

BoundsCheck::BoundsCheck(const MachineShares &shares, Log log) : shares(shares), log(std::move(log))
{ }

void BoundsCheck::run(HttpListener &callers, const TargetLinks &targets, Instant now)
{
    if (now - this->checkedAt < checkInterval) {
        return;
    }
    this->checkedAt = now;
    this->adaptConnections(callers, now);
    this->logEvictions(callers);
    this->logReplyEvictions(targets);
}

void BoundsCheck::adaptConnections(HttpListener &callers, Instant now) const
{
    if (this->shares.limitsDescriptors()) {
        const std::size_t open = std::max(countOpenDescriptors(), callers.size());
        callers.setMaxConnections(this->shares.callerConnections(open - callers.size()), now);
    }
}

void BoundsCheck::logEvictions(const HttpListener &callers)
{
    const EvictionCounts &counts = callers.evictions();
    const EvictionCounts before = std::exchange(this->logged, counts);
    if (counts.forMemory != before.forMemory) {
        this->log({LogEvent::CallersEvicted,
                   {countField("closed", counts.forMemory - before.forMemory),
                    countField("heldBytes", callers.heldBytes())}});
    }
    if (counts.replaced != before.replaced || counts.refused != before.refused) {
        this->log({LogEvent::CallersReplaced,
                   {countField("closed", counts.replaced - before.replaced),
                    countField("refused", counts.refused - before.refused),
                    countField("open", callers.size())}});
    }
    if (counts.acceptFailures != before.acceptFailures) {
        this->log({LogEvent::AcceptFailed,
                   {countField("failures", counts.acceptFailures - before.acceptFailures),
                    countField("open", callers.size())}});
    }
}

void BoundsCheck::logReplyEvictions(const TargetLinks &targets)
{
    const std::uint64_t before = std::exchange(this->loggedReplies, targets.repliesEvicted());
    if (this->loggedReplies != before) {
        this->log({LogEvent::RepliesEvicted, {countField("closed", this->loggedReplies - before)}});
    }
}

} // namespace lagoondeck
