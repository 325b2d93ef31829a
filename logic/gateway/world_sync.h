#pragma once

#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"
#include "core/gateway_settings.h"
#include "logic/gateway/route_table.h"
#include "logic/gateway/store_health.h"
#include "logic/gateway/target_book.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace lagoondeck {

/// Keeps this instance's beliefs in step with the store: the configuration in force, the targets
/// and the other members. Reads everything once, then asks for what has changed, with a pause
/// between two questions: each costs the platform, and the targets' heartbeats alone would make
/// one a few milliseconds long.
class WorldSync
{
public:
    WorldSync(const GatewaySettings &settings, TargetBook &book);

    void start(GatewayContext &context);
    void onAnswer(const StoreAnswered &event, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// What is believed may have aged unseen: ask at once.
    void refresh(GatewayContext &context);
    Instant nextTimer() const;

    /// The configuration in force; null before the first one is known.
    const std::shared_ptr<const RouteTable> &routes() const { return this->table; }
    /// The configuration and the targets are known.
    bool ready() const { return this->table != nullptr && this->targetsKnown; }
    const std::map<std::string, MemberRecord> &members() const { return this->memberTable; }
    const StoreHealth &store() const { return this->health; }

private:
    void ask(GatewayContext &context);
    void onPage(const StoreAnswer &answer, GatewayContext &context);
    void onChanges(const StoreAnswer &answer, GatewayContext &context);
    void onTrouble(StoreVerdict verdict, GatewayContext &context);
    void beginReading();
    void take(const WorldChange &change, GatewayContext &context);
    void takeConfig(const WorldChange &change, GatewayContext &context);
    void takeTarget(const WorldChange &change, GatewayContext &context);
    void takeMember(const WorldChange &change);
    void removeUnread(GatewayContext &context);
    void missTarget(const TargetId &target, GatewayContext &context);
    void dropMissing(GatewayContext &context);

    TargetBook &book;
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
};

} // namespace lagoondeck
