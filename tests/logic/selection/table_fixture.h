#pragma once

#include "logic/context.h"
#include "logic/events.h"
#include "logic/selection/target_table.h"

#include <algorithm>
#include <string>
#include <vector>

namespace lagoondeck {

/// A target table. The tests create the events that drivers would send. The targets are replicas of
/// one shard, named "a", "b" and so on.
class TableFixture
{
public:
    explicit TableFixture(Policy policy = {}, std::uint32_t instances = 1)
        : table(policy, instances)
    { }

    void addReplicas(std::size_t count)
    {
        this->report.snapshots = {{this->snapshot, 1}};
        for (std::size_t i = 0; i < count; ++i) {
            TargetInstance info;
            info.id = nameOf(i);
            info.service = this->key.service;
            info.address = "10.0.0." + std::to_string(i);
            info.slots = 4;
            info.connectionCap = 8;
            this->list.targets.push_back(info);
        }
        this->listInstances();
        this->acceptConnections();
        // Wait for the end of the new targets' load ramps.
        this->now += LoadRamp::rampDuration;
        this->tick();
        for (const ProbeTarget &probe : this->takeEffects<ProbeTarget>()) {
            Context context = this->context();
            this->table.onHealth({probe.connection, probe.target, this->report}, context);
        }
    }

    static TargetId nameOf(std::size_t number)
    {
        return TargetId(std::string(1, static_cast<char>('a' + number)));
    }

    void listInstances()
    {
        Context context = this->context();
        this->table.onInstances(this->list, context);
    }

    /// Accepts each connection that the table opens. Returns how many there were.
    std::size_t acceptConnections()
    {
        const auto opens = this->takeEffects<OpenConnection>();
        for (const OpenConnection &open : opens) {
            Context context = this->context();
            this->table.onConnectionOpened({open.connection, open.target, this->report}, context);
        }
        return opens.size();
    }

    void close(const Reservation &reservation, ConnectionEnd end)
    {
        Context context = this->context();
        this->table.onConnectionClosed({reservation.connection, reservation.target, end}, context);
    }

    /// Sends a report from every target, as replies and health checks do.
    void refreshReports()
    {
        for (const TargetInstance &info : this->list.targets) {
            Context context = this->context();
            this->table.onReport(info.id, this->report, context);
        }
    }

    std::optional<Reservation> reserve(std::span<const TargetId> excluded = {})
    {
        this->refreshReports();
        Context context = this->context();
        return this->table.reserve(this->key, this->snapshot, excluded, context);
    }

    std::optional<Reservation> reserveProbe()
    {
        this->refreshReports();
        Context context = this->context();
        return this->table.reserveProbe(this->key, this->snapshot, {}, context);
    }

    void release(const Reservation &reservation, Duration latency,
                 SubRequestOutcome outcome = SubRequestOutcome::Answered)
    {
        Context context = this->context();
        this->table.release(reservation, outcome, latency, context);
    }

    void tick()
    {
        Context context = this->context();
        this->table.onTimer(context);
    }

    /// Sends one sub-request per round to the replica that the table chooses, with the latency that
    /// `latencyOf` returns for it.
    template <typename LatencyOf>
    void runSubRequests(int rounds, LatencyOf latencyOf)
    {
        for (int round = 0; round < rounds; ++round) {
            this->now += std::chrono::milliseconds(5);
            if (const auto reservation = this->reserve()) {
                this->release(*reservation, latencyOf(reservation->target));
            }
        }
    }

    std::size_t countLogEvents(LogEvent event) const
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(this->effects, [&](const Effect &effect) {
                    const auto *line = std::get_if<WriteLog>(&effect);
                    return line != nullptr && line->event == event;
                }));
    }

    template <typename Kind>
    std::vector<Kind> takeEffects()
    {
        std::vector<Kind> found;
        for (const Effect &effect : this->effects) {
            if (const auto *match = std::get_if<Kind>(&effect)) {
                found.push_back(*match);
            }
        }
        std::erase_if(this->effects,
                      [](const Effect &effect) { return std::holds_alternative<Kind>(effect); });
        return found;
    }

    Context context() { return {this->now, WallTime {}, this->effects, this->random, this->ids}; }

    ShardKey key {ServiceName("fit"), ShardId(0)};
    SnapshotVersion snapshot {7};
    TargetReport report;
    InstanceList list;
    Instant now {std::chrono::seconds(1)};
    std::vector<Effect> effects;
    RandomEngine random {7};
    IdSource ids;
    TargetTable table;
};

} // namespace lagoondeck
