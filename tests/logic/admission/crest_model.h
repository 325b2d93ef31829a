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

/// Sizes and loads of one run of the model.
struct CrestPlan
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
    double slowPart = 0.0;
    double slowFactor = 10.0;
    Duration hop = std::chrono::microseconds(500);
    Duration deadline = std::chrono::milliseconds(150);
    Duration length = std::chrono::seconds(12);
    /// Answers before this are not counted.
    Duration warmUp = std::chrono::seconds(4);
    /// Queries of each priority, as a multiple of what the slots can serve.
    std::map<std::uint32_t, double> loads {{5, 0.4}};
    /// The load has grown by this factor, evenly within two seconds, when the warm-up ends.
    double crest = 1.0;

    double capacity() const
    {
        return static_cast<double>(this->replicas * this->slots) * 1000.0 / this->meanServiceMs;
    }
};

/// What came of one priority's queries.
struct CrestCounts
{
    std::uint32_t sent = 0;
    std::uint32_t answered = 0;
    std::uint32_t refused = 0;
    std::uint32_t lost = 0;
    std::vector<double> milliseconds;

    double quantile(double part);
};

/// What came of a run.
struct CrestResult
{
    std::map<std::uint32_t, CrestCounts> byPriority;
    std::uint64_t subRequests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t sheds = 0;
    std::uint32_t answered = 0;
    double goodputRatio = 0.0;
    double p50Ms = 0.0;
    double p99Ms = 0.0;

    /// The figures as a line of text.
    std::string row() const;
};

/// A few nodes' decisions over targets with slots and queues, in virtual time: the real admission,
/// selection and fan-out, one service and nothing else of the system.
class CrestModel
{
public:
    explicit CrestModel(const CrestPlan &plan);
    ~CrestModel();

    CrestResult run();

private:
    struct Node;
    struct Target;
    struct Job;

    void after(Duration delay, std::function<void()> action);
    void arrive(std::uint32_t priority);
    void scheduleArrival(std::uint32_t priority);
    double rateNow(std::uint32_t priority) const;
    void perform(Node &node);
    void perform(Node &node, const Effect &effect);
    void answer(Node &node, const AnswerCaller &answer);
    void receive(Target &target, Job job);
    void startWaiting(Target &target);
    void finish(Target &target, std::uint64_t job, ReplyKind kind);
    void cancel(Target &target, std::uint32_t node, AttemptId attempt);
    void reply(Target &target, const Job &job, ReplyKind kind);
    /// What every health check of a target tells.
    TargetReport report() const;
    void fire(Node &node, const SetTimer &timer);

    struct Action
    {
        Instant at {};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Action &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    CrestPlan plan;
    RandomEngine random;
    Instant now {std::chrono::seconds(1)};
    Instant start {std::chrono::seconds(1)};
    std::uint64_t order = 0;
    std::priority_queue<Action> actions;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<TargetId, std::unique_ptr<Target>> targets;
    std::map<QueryId, std::pair<std::uint32_t, Instant>> open;
    std::uint64_t lastQuery = 0;
    CrestResult result;
};

} // namespace lagoondeck
