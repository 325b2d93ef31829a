#pragma once

#include "logic/context.h"
#include "logic/events.h"
#include "logic/fanout/query_engine.h"
#include "logic/selection/target_table.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// A query engine on a real target table. The tests create the events that drivers would send.
class EngineFixture
{
public:
    explicit EngineFixture(Policy policy = {})
        : targets(policy, 1),
          engine(policy, this->targets, [this](const EntryName &) { return this->overloaded; })
    {
        this->entry.name = EntryName("fit-check");
        this->entry.service = ServiceName("fit");
    }

    /// Lists targets named "SHARD-REPLICA", opens their connections and announces the snapshots.
    void addTargets(std::uint32_t shards, std::uint32_t replicas,
                    std::vector<SnapshotAnnouncement> snapshots)
    {
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            for (std::uint32_t replica = 0; replica < replicas; ++replica) {
                TargetInstance info;
                info.id = TargetId(std::to_string(shard) + "-" + std::to_string(replica));
                info.service = this->entry.service;
                info.shard = ShardId(shard);
                info.slots = 4;
                info.connectionCap = 4;
                this->list.targets.push_back(info);
            }
        }
        this->report.snapshots = std::move(snapshots);
        Context context = this->context();
        this->targets.onInstances(this->list, context);
        this->acceptConnections();
    }

    /// Removes a target from the instance list.
    void removeTarget(const std::string &target)
    {
        std::erase_if(this->list.targets,
                      [&](const TargetInstance &info) { return info.id.value == target; });
        Context context = this->context();
        this->targets.onInstances(this->list, context);
        this->engine.sendAllWaiting(context);
    }

    /// Accepts each connection that the target table opens.
    void acceptConnections()
    {
        const auto opens = this->takeEffects<OpenConnection>();
        for (const OpenConnection &open : opens) {
            Context context = this->context();
            this->targets.onConnectionOpened({open.connection, open.target, this->report}, context);
        }
    }

    CallerRequest request(std::uint64_t query) const
    {
        CallerRequest request;
        request.query = QueryId(query);
        request.entry = this->entry.name;
        request.caller = CallerName("line-4");
        request.requestId = RequestId("r" + std::to_string(query));
        request.body = std::make_shared<const std::string>("{}");
        return request;
    }

    void start(const CallerRequest &request)
    {
        Context context = this->context();
        this->engine.start(request, this->entry, this->now, context);
    }

    void reply(const SendSubRequest &sent, ReplyKind kind = ReplyKind::Answered)
    {
        TargetReplied event;
        event.attempt = sent.attempt;
        event.connection = sent.connection;
        event.kind = kind;
        event.snapshot = sent.snapshot;
        event.documents = 10;
        event.hits = {{0.5, "\"" + std::to_string(sent.shard.value) + "\""}};
        event.report = this->report;
        this->reply(event);
    }

    void reply(const TargetReplied &event)
    {
        Context context = this->context();
        this->engine.onReply(event, context);
    }

    void loseConnection(const SendSubRequest &sent, bool bytesWereSent = true)
    {
        const ConnectionClosed event {sent.connection, sent.target, ConnectionEnd::Lost,
                                      sent.attempt, bytesWereSent};
        Context context = this->context();
        this->targets.onConnectionClosed(event, context);
        this->engine.onConnectionClosed(event, context);
    }

    void reachDeadline(std::uint64_t query)
    {
        Context context = this->context();
        this->engine.onDeadline(QueryId(query), context);
    }

    /// Fires the timer after which a target that refused work may get work again.
    void fireQueueCheck()
    {
        Context context = this->context();
        this->targets.onQueueCheck(context);
        this->engine.sendAllWaiting(context);
    }

    void fireHedgeTimer(std::uint64_t query)
    {
        Context context = this->context();
        this->engine.onHedgeTimer(QueryId(query), context);
    }

    /// Runs whole queries whose sub-requests take this latency, so that the engine has latency
    /// statistics.
    void runQueries(Duration latency, std::uint64_t firstQuery, std::uint64_t queries)
    {
        for (std::uint64_t i = 0; i < queries; ++i) {
            this->start(this->request(firstQuery + i));
            const auto sent = this->takeEffects<SendSubRequest>();
            this->now += latency;
            for (const SendSubRequest &each : sent) {
                this->reply(each);
            }
        }
        this->effects.clear();
    }

    /// Removes and returns the effects of one kind so far.
    template <typename Kind>
    std::vector<Kind> takeEffects()
    {
        std::vector<Kind> found;
        std::vector<Effect> rest;
        for (Effect &effect : this->effects) {
            if (auto *match = std::get_if<Kind>(&effect)) {
                found.push_back(std::move(*match));
            } else {
                rest.push_back(std::move(effect));
            }
        }
        this->effects = std::move(rest);
        return found;
    }

    /// Removes and returns the only answer so far; an empty one when there are none or several.
    Answer answer()
    {
        const auto answers = this->takeEffects<AnswerCaller>();
        return answers.size() == 1 ? answers.front().answer : Answer {};
    }

    bool answered() const
    {
        return std::ranges::any_of(this->effects, [](const Effect &effect) {
            return std::holds_alternative<AnswerCaller>(effect);
        });
    }

    Context context() { return {this->now, WallTime {}, this->effects, this->random, this->ids}; }

    CatalogueEntry entry;
    TargetReport report;
    InstanceList list;
    Instant now {std::chrono::seconds(1)};
    bool overloaded = false;
    std::vector<Effect> effects;
    RandomEngine random {7};
    IdSource ids;
    TargetTable targets;
    QueryEngine engine;
};

} // namespace lagoondeck
