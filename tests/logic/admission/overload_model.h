#pragma once

#include "core/catalogue_entry.h"
#include "logic/admission/admission.h"
#include "logic/context.h"
#include "logic/events.h"
#include "logic/fanout/query_engine.h"
#include "logic/selection/target_table.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace lagoondeck {

/// Sizes, loads and faults of one run of the model.
struct OverloadScenario
{
    Policy policy;
    std::uint64_t seed = 1;
    std::uint32_t nodes = 8;
    std::uint32_t groups = 10;
    std::uint32_t replicas = 3;
    std::uint32_t slots = 3;
    std::uint32_t connectionCap = 30;
    std::uint32_t queueLimit = 4;
    double meanServiceMs = 20.0;
    double sigma = 0.4;
    double slowFraction = 0.0;
    double slowFactor = 10.0;
    Duration networkDelay = std::chrono::microseconds(500);
    Duration deadline = std::chrono::milliseconds(150);
    Duration runDuration = std::chrono::seconds(12);
    /// Queries that arrive before this time are not counted.
    Duration warmUp = std::chrono::seconds(4);
    /// Load of each priority, as a multiple of the capacity of the slots.
    std::map<std::uint32_t, double> loads {{5, 0.4}};
    /// The load grows linearly to this multiple within the last two seconds of the warm-up and
    /// stays there.
    double peakFactor = 1.0;

    double capacity() const
    {
        return static_cast<double>(this->replicas * this->slots) * 1000.0 / this->meanServiceMs;
    }
};

/// Results of the queries of one priority.
struct PriorityCounts
{
    std::uint32_t sent = 0;
    std::uint32_t answered = 0;
    std::uint32_t refused = 0;
    std::uint32_t lost = 0;
    std::vector<double> milliseconds;

    double quantile(double fraction);
};

/// Results of one run.
struct OverloadResult
{
    std::map<std::uint32_t, PriorityCounts> byPriority;
    std::uint64_t subRequests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t sheds = 0;
    std::uint32_t answered = 0;
    double goodputRatio = 0.0;
    double p50Ms = 0.0;
    double p99Ms = 0.0;

    /// Returns the figures as one line of text.
    std::string row() const;
};

/// Simulates a few instances that send queries to targets with slots and queues, in virtual time.
/// The instances run the real admission, target selection and fan-out for one service; the rest of
/// the system is left out.
class OverloadModel
{
public:
    explicit OverloadModel(const OverloadScenario &scenario);
    ~OverloadModel();

    OverloadResult run();

private:
    struct Node;
    struct Target;
    struct Job;

    void scheduleAfter(Duration delay, std::function<void()> action);
    void arrive(std::uint32_t priority);
    void scheduleArrival(std::uint32_t priority);
    double arrivalRate(std::uint32_t priority) const;
    void execute(Node &node);
    void execute(Node &node, const Effect &effect);
    void answer(Node &node, const AnswerCaller &answer);
    void receive(Target &target, Job job);
    void startWaiting(Target &target);
    void finish(Target &target, std::uint64_t job, ReplyKind kind);
    void cancel(Target &target, std::uint32_t node, AttemptId attempt);
    void reply(Target &target, const Job &job, ReplyKind kind);
    /// Returns the report that every health check of a target delivers.
    TargetReport report() const;
    void onTimerFired(Node &node, const SetTimer &timer);

    struct Action
    {
        Instant at {};
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const Action &other) const
        {
            return this->at != other.at ? this->at > other.at : this->sequence > other.sequence;
        }
    };

    OverloadScenario scenario;
    RandomEngine random;
    Instant now {std::chrono::seconds(1)};
    Instant start {std::chrono::seconds(1)};
    std::uint64_t sequence = 0;
    std::priority_queue<Action> actions;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<TargetId, std::unique_ptr<Target>> targets;
    std::map<QueryId, std::pair<std::uint32_t, Instant>> openQueries;
    std::uint64_t lastQuery = 0;
    OverloadResult result;
};

} // namespace lagoondeck
