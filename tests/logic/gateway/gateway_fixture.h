#pragma once

#include "logic/gateway/gateway.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck::gatewaytest {

using std::chrono::milliseconds;

/// Runs a gateway with a configuration and targets on a simulated clock and records its effects.
class GatewayHarness
{
public:
    explicit GatewayHarness(RoutingConfig config, std::vector<TargetRecord> targets = {},
                            RetryAllowance retries = {0.2, 60.0, std::chrono::seconds(10)})
        : GatewayHarness(settingsOf(retries), std::move(config), std::move(targets))
    { }

    GatewayHarness(const GatewaySettings &settings, RoutingConfig config,
                   std::vector<TargetRecord> targets = {})
        : GatewayHarness(settings)
    {
        this->answerRead(std::move(config), targets);
        this->calls.clear();
    }

    /// A gateway that has not read the store yet.
    explicit GatewayHarness(const GatewaySettings &settings) : gateway(settings)
    {
        this->apply(GatewayStarted {});
    }

    static GatewaySettings settingsOf(RetryAllowance retries)
    {
        GatewaySettings settings;
        settings.id = InstanceId("a");
        settings.peerAddress = "127.0.0.1:7000";
        settings.retries = retries;
        settings.firstStart = true;
        settings.seed = 7;
        return settings;
    }

    /// Passes an event to the gateway and records the effects.
    void apply(const GatewayEvent &event)
    {
        for (GatewayEffect &effect : this->gateway.apply(event, this->now)) {
            if (auto *start = std::get_if<StartAttempt>(&effect)) {
                this->started.push_back(*start);
                this->startedAt.push_back(this->now);
            } else if (auto *close = std::get_if<CloseAttempt>(&effect)) {
                this->closed.push_back(close->attempt);
            } else if (auto *probe = std::get_if<ProbePath>(&effect)) {
                this->probes.push_back(*probe);
            } else if (auto *inquiry = std::get_if<SendInquiry>(&effect)) {
                this->inquiries.push_back(*inquiry);
            } else if (auto *delegated = std::get_if<DelegateRequest>(&effect)) {
                this->delegated.push_back(*delegated);
            } else if (auto *receipt = std::get_if<SendReceipt>(&effect)) {
                this->receipts.push_back(*receipt);
            } else if (auto *delegatedAnswer = std::get_if<SendDelegatedAnswer>(&effect)) {
                this->delegatedAnswers.push_back(*delegatedAnswer);
            } else if (auto *cancellation = std::get_if<CancelDelegation>(&effect)) {
                this->cancellations.push_back(*cancellation);
            } else if (auto *answer = std::get_if<AnswerExchange>(&effect)) {
                this->answers[answer->exchange].push_back(answer->reply);
            } else if (auto *log = std::get_if<WriteLog>(&effect)) {
                this->logs.push_back(*log);
            } else if (auto *storeUpdate = std::get_if<SendStoreUpdate>(&effect)) {
                this->updates.push_back(*storeUpdate);
            } else if (auto *call = std::get_if<CallStore>(&effect)) {
                this->calls.push_back(*call);
            } else if (auto *budgetRequest = std::get_if<RequestBudget>(&effect)) {
                this->budgetRequests.push_back(*budgetRequest);
            } else if (auto *crash = std::get_if<ReportCrash>(&effect)) {
                this->crashReports.push_back(*crash);
            } else if (auto *limitRequest = std::get_if<RequestLimit>(&effect)) {
                this->limitRequests.push_back(*limitRequest);
            } else if (auto *request = std::get_if<RequestLearnedState>(&effect)) {
                this->learnedStateRequests.push_back(*request);
            } else if (auto *learned = std::get_if<SendLearnedState>(&effect)) {
                this->learnedStates.push_back(*learned);
            } else if (auto *ask = std::get_if<AskAccountTokens>(&effect)) {
                this->accountAsks.push_back(*ask);
            } else if (auto *grant = std::get_if<GrantAccountTokens>(&effect)) {
                this->accountGrants.push_back(*grant);
            } else if (auto *loan = std::get_if<LendBudget>(&effect)) {
                this->grantedLoans.push_back(*loan);
            }
        }
    }

    /// Advances the clock and fires all timers that become due.
    void advance(Duration duration)
    {
        const Instant end = this->now + duration;
        while (this->gateway.nextTimer() <= end) {
            this->now = std::max(this->now, this->gateway.nextTimer());
            this->apply(TimerDue {});
        }
        this->now = end;
    }

    /// Answers the initial read of the store with a configuration and targets.
    void answerRead(RoutingConfig config, const std::vector<TargetRecord> &targets)
    {
        StoreAnswer answer;
        answer.status = StoreCallStatus::Done;
        answer.revision = ++this->revision;
        answer.changes.push_back(configChange(std::move(config), this->revision));
        for (const TargetRecord &target : targets) {
            answer.changes.push_back(targetChange(target, this->revision));
        }
        this->answerStore<ReadStore>(answer);
    }

    /// Answers the pending store call of the given type. Returns false if there is none.
    template <typename Call>
    bool answerStore(const StoreAnswer &answer)
    {
        for (auto call = this->calls.begin(); call != this->calls.end(); ++call) {
            if (std::holds_alternative<Call>(call->call)) {
                const StoreOpId operation = call->operation;
                this->calls.erase(call);
                this->apply(StoreAnswered {operation, answer});
                return true;
            }
        }
        return false;
    }

    /// Waits for the next watch of the store and answers it with the changes.
    void answerWatch(std::vector<StoreChange> changes)
    {
        this->advance(milliseconds(1200));
        StoreAnswer answer;
        answer.status = StoreCallStatus::Done;
        answer.revision = ++this->revision;
        for (StoreChange &change : changes) {
            change.revision = this->revision;
        }
        answer.changes = std::move(changes);
        this->answerStore<WatchStore>(answer);
    }

    static StoreChange configChange(RoutingConfig config, std::uint64_t revision)
    {
        StoreChange change;
        change.kind = StoreKeyKind::Config;
        change.key = "config";
        change.revision = revision;
        change.content = std::make_shared<const RoutingConfig>(std::move(config));
        return change;
    }

    static StoreChange targetChange(const TargetRecord &target, std::uint64_t revision)
    {
        StoreChange change;
        change.kind = StoreKeyKind::Target;
        change.id = target.id.value;
        change.key = "targets/" + change.id;
        change.revision = revision;
        change.content = target;
        return change;
    }

    static StoreChange memberChange(const std::string &id, const std::string &address)
    {
        StoreChange change;
        change.kind = StoreKeyKind::Member;
        change.id = id;
        change.key = "members/" + id;
        change.content = MemberRecord {InstanceId(id), address};
        return change;
    }

    static StoreChange quarantineChange(const QuarantineRecord &quarantine)
    {
        StoreChange change;
        change.kind = StoreKeyKind::Quarantine;
        change.id = std::to_string(quarantine.fingerprint);
        change.key = "quarantine/" + change.id;
        change.content = quarantine;
        return change;
    }

    static StoreChange removal(const std::string &target)
    {
        StoreChange change;
        change.kind = StoreKeyKind::Target;
        change.id = target;
        change.key = "targets/" + target;
        change.removed = true;
        return change;
    }

    /// Sends a caller's request to the gateway.
    ExchangeId sendRequest(const std::string &path, Duration timeLimit = std::chrono::seconds(2),
                           const std::string &host = "h")
    {
        ForwardedRequest request;
        request.method = "GET";
        request.path = path;
        request.host = host;
        request.requestId = "r" + std::to_string(++this->lastExchange);
        request.timeLimit = timeLimit;
        if (!this->accountKey.empty()) {
            request.accountKey = this->accountKey;
            request.identityFields = {{"identity", this->accountKey}};
        }
        const ExchangeId id(this->lastExchange);
        this->apply(RequestArrived {id,
                                    std::make_shared<const ForwardedRequest>(std::move(request)),
                                    this->path, this->maxWait});
        return id;
    }

    /// Lets the target of an attempt reply.
    void reply(AttemptId attempt, ReplyClass kind, int status = 200, std::string body = "",
               std::string signature = "s")
    {
        auto reply = std::make_shared<ForwardedReply>();
        reply->kind = kind;
        reply->status = status;
        reply->body = std::move(body);
        reply->signature = std::move(signature);
        this->apply(AttemptReplied {attempt, std::move(reply)});
    }

    /// Returns the answer of an exchange, or nothing unless there is exactly one.
    std::optional<CallerReply> answerOf(ExchangeId exchange) const
    {
        const auto found = this->answers.find(exchange);
        return found == this->answers.end() || found->second.size() != 1
                ? std::nullopt
                : std::optional(found->second.front());
    }

    Instant now {std::chrono::seconds(100)};
    Gateway gateway;
    /// The attempts that were started, and when.
    std::vector<StartAttempt> started;
    std::vector<Instant> startedAt;
    /// The attempts that were closed.
    std::vector<AttemptId> closed;
    std::vector<ProbePath> probes;
    // Messages to other members.
    std::vector<SendInquiry> inquiries;
    std::vector<DelegateRequest> delegated;
    std::vector<SendReceipt> receipts;
    std::vector<SendDelegatedAnswer> delegatedAnswers;
    std::vector<CancelDelegation> cancellations;
    std::map<ExchangeId, std::vector<CallerReply>> answers;
    /// Unanswered calls of the store.
    std::vector<CallStore> calls;
    std::vector<SendStoreUpdate> updates;
    std::vector<RequestBudget> budgetRequests;
    std::vector<LendBudget> grantedLoans;
    std::vector<ReportCrash> crashReports;
    std::vector<RequestLimit> limitRequests;
    std::vector<RequestLearnedState> learnedStateRequests;
    std::vector<SendLearnedState> learnedStates;
    std::vector<AskAccountTokens> accountAsks;
    std::vector<GrantAccountTokens> accountGrants;
    std::vector<WriteLog> logs;
    /// The key that the requests sent next carry; empty if none.
    std::string accountKey;
    /// The path of the requests that are sent next.
    CallerPath path;
    /// How long the requests that are sent next waited unread.
    Duration maxWait {};
    std::uint64_t revision = 0;
    std::uint64_t lastExchange = 0;
};

inline TargetRecord target(const std::string &id, const std::string &group)
{
    TargetRecord record;
    record.id = TargetId(id);
    record.group = GroupName(group);
    record.address = "127.0.0.1:1";
    record.slots = 3;
    record.startedAtMs = 1;
    return record;
}

inline Route plainRoute(const std::string &prefix, const std::string &group, bool idempotent)
{
    Route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.idempotent = idempotent;
    route.timeout = milliseconds(1000);
    route.objective = milliseconds(200);
    route.attempts = 2;
    route.split = {{GroupName(group), 1.0}};
    return route;
}

inline Route gatherRoute(const std::string &prefix, std::size_t shards, double minimumCoverage)
{
    Route route = plainRoute(prefix, "", true);
    route.split.clear();
    route.topK = 4;
    route.minimumCoverage = minimumCoverage;
    for (std::size_t i = 0; i < shards; ++i) {
        route.gather.emplace_back("shard" + std::to_string(i));
    }
    return route;
}

inline RoutingConfig configOf(std::vector<Route> routes, std::uint64_t version = 1)
{
    RoutingConfig config;
    config.version = version;
    for (const Route &route : routes) {
        for (const WeightedGroup &part : route.split) {
            config.connectionCaps[part.group] = 64;
        }
        for (const GroupName &group : route.gather) {
            config.connectionCaps[group] = 64;
        }
    }
    config.routes = std::move(routes);
    return config;
}

inline std::vector<TargetRecord> replicas(std::size_t shards, std::size_t count)
{
    std::vector<TargetRecord> targets;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        for (std::size_t i = 0; i < count; ++i) {
            targets.push_back(target("t" + std::to_string(shard) + "-" + std::to_string(i),
                                     "shard" + std::to_string(shard)));
        }
    }
    return targets;
}

} // namespace lagoondeck::gatewaytest
