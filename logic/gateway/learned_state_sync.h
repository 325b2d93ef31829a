#pragma once

#include "core/time.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/learned_state.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Asks other members what they have learned from targets: an instance that starts knows nothing of
/// it, and one that was paused has missed what members reported meanwhile.
///
/// A few members are enough, because all of them are told of the same things. Members that don't
/// reply, for example because they run an older version, are replaced by others for a while.
class LearnedStateSync
{
public:
    /// Starts asking. The given addresses are asked until the members are known.
    void begin(const std::vector<std::string> &addresses, GatewayContext &context);
    /// Called with the addresses of the known members.
    void onMembers(std::vector<std::string> members, GatewayContext &context);
    /// Called when a member replied. Members that are still asking themselves are asked again.
    void onReply(const std::string &member, const LearnedState &state);
    void onTimer(GatewayContext &context);
    /// Returns when onTimer() must be called next.
    Instant nextTimer() const { return this->nextAskAt; }
    /// Returns true if the members that were asked have replied, or are not expected to any more.
    bool isComplete() const { return this->nextAskAt == Instant::max(); }

    /// Returns true if as many members have replied as can be expected of those that are known now.
    bool hasReplies() const;

    /// Keeps limits of targets until the targets are known.
    void holdLimits(const std::vector<StatedLimit> &limits);
    std::vector<StatedLimit> takeHeldLimits() { return std::exchange(this->heldLimits, {}); }

private:
    void ask(GatewayContext &context);

    /// The peer addresses that can be asked, and whether they are those of the known members.
    std::vector<std::string> candidates;
    bool membersKnown = false;
    std::set<std::string> asked;
    std::set<std::string> replied;
    Instant askUntil {};
    Instant nextAskAt = Instant::max();
    std::vector<StatedLimit> heldLimits;
};

} // namespace lagoondeck
