#pragma once

#include "core/answer.h"
#include "logic/effects.h"
#include "logic/events.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoondeck {

/// Event counts of a simulation run.
struct SimulationCounts
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t failed = 0;
    std::size_t unknown = 0;
    /// Requests whose instance crashed before it answered.
    std::size_t interruptedByCrash = 0;
    std::size_t subRequests = 0;
    std::size_t hedges = 0;
    std::size_t runs = 0;
    /// Queries that were restarted on a newer snapshot.
    std::size_t restarts = 0;
    std::size_t events = 0;
};

/// Records what callers and targets observe in a simulation, independently of the state of the
/// instances, and checks the answers against it.
class SimulationRecord
{
public:
    /// Called when a caller sends a request to an instance.
    void recordRequest(std::uint64_t node, const CallerRequest &request, Instant at);
    /// Called when an instance crashes.
    void recordCrash(std::uint64_t node);
    /// Called when a target starts to run a sub-request.
    void recordRun(const SendSubRequest &request);
    void addVersion(SnapshotVersion version, std::uint32_t shards);
    void recordAnswer(std::uint64_t node, const AnswerCaller &effect, Instant at,
                      bool nodeWasPaused);
    /// Runs the checks that hold only when no request is in flight any more.
    void checkAtEnd();
    void addViolation(const std::string &what);

    const std::vector<std::string> &violations() const { return this->foundViolations; }
    SimulationCounts counts;

private:
    struct PendingRequest
    {
        CallerRequest request;
        Instant at {};
        std::size_t answers = 0;
    };

    /// What is recorded about one request id, which may be sent several times.
    struct RequestHistory
    {
        bool idempotent = true;
        std::size_t runs = 0;
        std::size_t sent = 0;
        std::size_t notRun = 0;
        /// The shards on which the request started to run, by index version.
        std::map<SnapshotVersion, std::set<ShardId>> startedShards;
    };

    void countOutcome(const Answer &answer);
    void checkCoverage(const PendingRequest &pending, const Answer &answer);
    void checkHits(const PendingRequest &pending, const Answer &answer, const AnswerCaller &effect);

    std::map<std::pair<std::uint64_t, QueryId>, PendingRequest> pendingRequests;
    std::map<RequestId, RequestHistory> histories;
    std::map<SnapshotVersion, std::uint32_t> shardCounts;
    std::vector<std::string> foundViolations;
};

} // namespace lagoondeck
