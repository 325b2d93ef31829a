#pragma once

#include "core/gateway_settings.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/route_table.h"
#include "logic/gateway/store_health.h"
#include "logic/gateway/target_book.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace lagoondeck {

/// Keeps this instance's beliefs in step with the store: the configuration in force, the targets
/// and the other members. Reads everything once, then asks for what has changed, with a pause
/// between two questions: each costs the platform, and the targets' heartbeats alone would make
/// one a few milliseconds long.
///
/// Whoever asked tells the other members what was new, in a tree of members that pass it on, and
/// who has heard news asks later; so mostly the first member in the order of names asks for all,
/// and the next one takes over when it falls silent. A member behind one that passes nothing on
/// asks itself. An instance that can't reach the store asks a member or a seed for all there is.
class WorldSync
{
public:
    WorldSync(const GatewaySettings &settings, TargetBook &book);

    void start(GatewayContext &context);
    void onAnswer(const StoreAnswered &event, GatewayContext &context);
    void onNews(const WorldNewsReceived &event, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// What is believed may have aged unseen: ask at once.
    void refresh(GatewayContext &context);
    Instant nextTimer() const;

    /// The configuration in force; null before the first one is known.
    const std::shared_ptr<const RouteTable> &routes() const { return this->table; }
    /// The configuration and the targets are known.
    bool ready() const { return this->table != nullptr && this->targetsKnown; }
    const std::map<std::string, MemberRecord> &members() const { return this->memberTable; }
    /// The peer addresses of the members that this one passes on what the origin told.
    std::vector<std::string> relayReceivers(const InstanceId &origin) const;
    /// The peer addresses of the members but this one.
    std::vector<std::string> otherMembers() const;
    const StoreHealth &store() const { return this->health; }
    /// When the store, or a member that had asked it, was heard last.
    Instant freshAt() const { return this->heardAt; }

private:
    void ask(GatewayContext &context);
    void onPage(const StoreAnswer &answer, GatewayContext &context);
    void onChanges(const StoreAnswer &answer, GatewayContext &context);
    void onTrouble(StoreVerdict verdict, GatewayContext &context);
    void beginReading();
    void takeNewer(const std::vector<WorldChange> &changes, GatewayContext &context);
    void take(const WorldChange &change, GatewayContext &context);
    void takeConfig(const WorldChange &change, GatewayContext &context);
    void takeTarget(const WorldChange &change, GatewayContext &context);
    void takeMember(const WorldChange &change);
    void removeUnread(GatewayContext &context);
    void missTarget(const TargetId &target, GatewayContext &context);
    void dropMissing(GatewayContext &context);
    void finishReading(GatewayContext &context);

    // Members.

    /// What an answer of the store holds beside heartbeats; to be asked before it is taken.
    std::shared_ptr<WorldNews> newsOf(const StoreAnswer &answer) const;
    void tellOthers(const std::shared_ptr<WorldNews> &news, GatewayContext &context);
    /// Passes another member's news on to the members behind this one.
    void relay(const WorldNews &news, GatewayContext &context);
    void takeFullNews(const WorldNews &news, GatewayContext &context);
    void answerWish(const WorldNewsReceived &event, GatewayContext &context);
    /// Asks a member or a seed while the store can't be reached.
    void wish(GatewayContext &context);
    bool isNews(const WorldChange &change) const;
    /// Stands for all keys and what they mean, without heartbeats.
    std::uint64_t digest() const;
    /// Reads everything anew when a member believes something else at the same revision.
    void compare(const WorldNews &news, GatewayContext &context);
    /// The place of this instance in the order of the members' names, from 0.
    std::ptrdiff_t rank() const;
    Duration watchWait() const;
    /// How long after the last news this instance asks the store itself.
    Duration patience() const;

    TargetBook &book;
    InstanceId self;
    std::string ownAddress;
    /// What has changed is asked for at least this often.
    Duration askInterval;
    Duration rankDelay;
    /// Peer addresses of the seeds, which may be stale.
    std::vector<std::string> seeds;
    /// What the store holds, by key, for members that can't reach it.
    std::map<std::string, WorldChange> items;
    Instant wishAt = Instant::max();
    std::shared_ptr<const RouteTable> table;
    std::map<std::string, MemberRecord> memberTable;
    StoreHealth health;
    std::optional<StoreOpId> operation;
    Instant askAt {};
    bool reading = true;
    bool targetsKnown = false;
    std::string pageAfter;
    /// The revision that the reading began at, or up to which all changes are known.
    std::uint64_t revision = 0;
    /// Targets and members that the running reading has named.
    std::unordered_set<std::string> named;
    /// Targets whose entry is missing, and when they are taken as gone.
    std::map<TargetId, Instant> missing;
    /// Until then removed keys may come back.
    Instant graceUntil {};
    Instant heardAt {};
    Instant comparedAt {};
    /// Up to which revision news were passed on, and when.
    std::uint64_t relayedTo = 0;
    Instant relayedAt {};
};

} // namespace lagoondeck
