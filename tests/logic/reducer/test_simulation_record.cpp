#include "tests/support/fake_target.h"
#include "tests/support/simulation_record.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t node = 1;
const SnapshotVersion version {7};

/// A request that ran on two shards, and its correct answer.
class RecordFixture
{
public:
    RecordFixture()
    {
        this->record.addVersion(version, 2);
        this->record.addVersion(SnapshotVersion(8), 2);
        this->request.query = QueryId(1);
        this->request.requestId = RequestId("r1");
        this->request.timeLimit = 100ms;
        this->record.recordRequest(node, this->request, Instant {});
        this->effect.query = QueryId(1);
        Answer &answer = this->effect.answer;
        answer.outcome = Outcome::Answered;
        answer.coverage.snapshot = version;
        answer.coverage.shardsNeeded = 2;
        answer.coverage.shardsAnswered = 2;
        for (std::uint32_t shard = 0; shard < 2; ++shard) {
            this->run(ShardId(shard));
            answer.hits.push_back({0.5, "r1|" + std::to_string(shard) + "|7"});
            answer.coverage.documentsAnswered += fakeDocumentCount(ShardId(shard), version);
        }
    }

    void run(ShardId shard)
    {
        SendSubRequest sent;
        sent.requestId = this->request.requestId;
        sent.shard = shard;
        sent.snapshot = version;
        this->record.recordRun(sent);
    }

    /// Records the answer after the given time and returns the violations found.
    std::vector<std::string> violationsAfter(Duration after = 50ms)
    {
        this->record.recordAnswer(node, this->effect, Instant {} + after, false);
        this->record.checkAtEnd();
        return this->record.violations();
    }

    SimulationRecord record;
    CallerRequest request;
    AnswerCaller effect;
};

} // namespace

TEST_CASE("A correct answer is no violation")
{
    CHECK(RecordFixture().violationsAfter().empty());
}

TEST_CASE("SimulationRecord reports each kind of wrong answer")
{
    RecordFixture fixture;
    Answer &answer = fixture.effect.answer;
    SECTION("a mixed snapshot")
    {
        answer.hits[1].json = "r1|1|8";
    }
    SECTION("a hit of another request")
    {
        answer.hits[1].json = "r2|1|7";
    }
    SECTION("a shard merged twice")
    {
        answer.hits[1].json = "r1|0|7";
    }
    SECTION("an answered shard without hits")
    {
        answer.hits.pop_back();
    }
    SECTION("too few shards needed")
    {
        answer.coverage.shardsNeeded = 1;
    }
    SECTION("a needed shard that is neither answered nor missing")
    {
        answer.coverage.shardsAnswered = 1;
        answer.outcome = Outcome::Failed;
    }
    SECTION("more answered shards than ran on the snapshot")
    {
        answer.coverage.snapshot = SnapshotVersion(8);
        answer.outcome = Outcome::Failed;
    }
    SECTION("a false not-run")
    {
        answer = {};
    }
    CHECK(fixture.violationsAfter().size() >= 1);
}

TEST_CASE("SimulationRecord reports late, duplicate and missing answers and a duplicate run")
{
    RecordFixture fixture;
    SECTION("a late answer")
    {
        CHECK(fixture.violationsAfter(102ms).size() == 1);
    }
    SECTION("a second answer")
    {
        fixture.violationsAfter();
        CHECK(fixture.violationsAfter().size() == 1);
    }
    SECTION("a missing answer")
    {
        fixture.record.checkAtEnd();
        CHECK(fixture.record.violations().size() == 1);
    }
    SECTION("an at-most-once request that ran twice")
    {
        fixture.request.query = QueryId(2);
        fixture.request.idempotent = false;
        fixture.record.recordRequest(node, fixture.request, Instant {});
        fixture.run(ShardId(0));
        CHECK(fixture.record.violations().size() == 1);
    }
}
