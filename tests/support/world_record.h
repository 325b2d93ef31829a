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

/// What a run counted.
struct WorldCounts
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t failed = 0;
    std::size_t unknown = 0;
    /// Requests whose node ended before it answered.
    std::size_t cutByCrash = 0;
    std::size_t subRequests = 0;
    std::size_t hedges = 0;
    std::size_t runs = 0;
    /// Queries that started again on a newer snapshot.
    std::size_t restarts = 0;
    std::size_t events = 0;
};

/// Keeps what really happened in a fake world, apart from what the nodes believe, and compares.
class WorldRecord
{
public:
    /// A caller sent a request to one life of a node.
    void asked(std::uint64_t node, const CallerRequest &request, Instant at);
    /// The node's life ended without warning.
    void crashed(std::uint64_t node);
    /// A target began to run a sub-request.
    void ran(const SendSubRequest &request);
    void versionMade(SnapshotVersion version, std::uint32_t shards);
    void answered(std::uint64_t node, const AnswerCaller &effect, Instant at, bool nodeSlept);
    /// What holds only once nothing is under way any more.
    void checkAtEnd();
    void violate(const std::string &what);

    const std::vector<std::string> &violations() const { return this->found; }
    WorldCounts counts;

private:
    struct Asked
    {
        CallerRequest request;
        Instant at {};
        std::size_t answers = 0;
    };

    /// All that is known of one request id; it may be asked several times.
    struct RequestFate
    {
        bool idempotent = true;
        std::size_t runs = 0;
        std::size_t asked = 0;
        std::size_t notRun = 0;
        /// The shards that ran in each version.
        std::map<SnapshotVersion, std::set<ShardId>> ranIn;
    };

    void count(const Answer &answer);
    void checkCoverage(const Asked &asked, const Answer &answer);
    void checkHits(const Asked &asked, const Answer &answer, const AnswerCaller &effect);

    std::map<std::pair<std::uint64_t, QueryId>, Asked> open;
    std::map<RequestId, RequestFate> fates;
    std::map<SnapshotVersion, std::uint32_t> shardCounts;
    std::vector<std::string> found;
};

} // namespace lagoondeck
