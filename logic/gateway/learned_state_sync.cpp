#include "logic/gateway/learned_state_sync.h"

#include <algorithm>
#include <iterator>

namespace lagoondeck {

namespace {

/// How many members must have replied.
constexpr std::size_t wantedReplies = 3;
/// A member that has not replied after this long is busy, gone, or runs an older version.
constexpr Duration replyTimeout = std::chrono::milliseconds(300);
/// How long members are asked. Those that start at the same time have replied by then.
constexpr Duration askPeriod = std::chrono::seconds(5);
constexpr std::size_t maxHeldLimits = 4096;

} // namespace

void LearnedStateSync::begin(const std::vector<std::string> &addresses, GatewayContext &context)
{
    this->candidates = addresses;
    this->membersKnown = false;
    this->asked.clear();
    this->replied.clear();
    this->askUntil = context.now + askPeriod;
    this->ask(context);
}

void LearnedStateSync::onMembers(std::vector<std::string> members, GatewayContext &context)
{
    if (members.empty()) {
        return;
    }
    this->candidates = std::move(members);
    if (!std::exchange(this->membersKnown, true)) {
        this->ask(context);
    }
}

void LearnedStateSync::onReply(const std::string &member, const LearnedState &state)
{
    if (state.isComplete) {
        this->replied.insert(member);
    }
    // The seeds may be fewer than the members.
    const std::size_t wanted =
            this->membersKnown ? std::min(wantedReplies, this->candidates.size()) : wantedReplies;
    if (this->replied.size() >= wanted) {
        this->nextAskAt = Instant::max();
    }
}

bool LearnedStateSync::hasReplies() const
{
    return this->isComplete()
            || this->replied.size() >= std::min(wantedReplies, this->candidates.size());
}

void LearnedStateSync::onTimer(GatewayContext &context)
{
    if (context.now >= this->nextAskAt) {
        this->ask(context);
    }
}

void LearnedStateSync::ask(GatewayContext &context)
{
    if (context.now >= this->askUntil) {
        this->nextAskAt = Instant::max();
        return;
    }
    this->nextAskAt = context.now + replyTimeout;
    std::vector<std::string> next;
    std::ranges::copy_if(
            this->candidates, std::back_inserter(next),
            [this](const std::string &member) { return !this->replied.contains(member); });
    std::ranges::shuffle(next, context.random);
    // Those that were not asked before come first.
    std::stable_partition(next.begin(), next.end(), [this](const std::string &member) {
        return !this->asked.contains(member);
    });
    next.resize(std::min(next.size(), wantedReplies - this->replied.size()));
    if (!next.empty()) {
        this->asked.insert(next.begin(), next.end());
        context.emit(RequestLearnedState {std::move(next)});
    }
}

void LearnedStateSync::holdLimits(const std::vector<StatedLimit> &limits)
{
    const std::size_t room = maxHeldLimits - this->heldLimits.size();
    const auto end = limits.begin() + static_cast<std::ptrdiff_t>(std::min(room, limits.size()));
    this->heldLimits.insert(this->heldLimits.end(), limits.begin(), end);
}

} // namespace lagoondeck
