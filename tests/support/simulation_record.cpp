#include "tests/support/simulation_record.h"

#include "tests/support/fake_target.h"

#include <algorithm>
#include <charconv>

namespace lagoondeck {

namespace {

/// Tolerated delay of an answer after the caller's deadline.
constexpr Duration answerSlack = std::chrono::milliseconds(1);

/// The fields of a hit that a FakeTarget returns.
struct FakeHit
{
    std::string requestId;
    ShardId shard;
    SnapshotVersion snapshot;
};

FakeHit readHit(const std::string &text)
{
    const std::size_t first = text.find('|');
    const std::size_t second = text.find('|', first + 1);
    FakeHit hit;
    hit.requestId = text.substr(0, first);
    std::from_chars(text.data() + first + 1, text.data() + second, hit.shard.value);
    std::from_chars(text.data() + second + 1, text.data() + text.size(), hit.snapshot.value);
    return hit;
}

} // namespace

void SimulationRecord::recordRequest(std::uint64_t node, const CallerRequest &request, Instant at)
{
    ++this->counts.requests;
    this->pendingRequests[{node, request.query}] = {request, at};
    RequestHistory &history = this->histories[request.requestId];
    history.idempotent = request.idempotent;
    ++history.sent;
}

void SimulationRecord::recordCrash(std::uint64_t node)
{
    this->counts.interruptedByCrash += std::erase_if(
            this->pendingRequests, [&](const auto &each) { return each.first.first == node; });
}

void SimulationRecord::recordRun(const SendSubRequest &request)
{
    ++this->counts.runs;
    RequestHistory &history = this->histories[request.requestId];
    ++history.runs;
    history.startedShards[request.snapshot].insert(request.shard);
    if (!history.idempotent && history.runs > 1) {
        this->addViolation("ran more than once: " + request.requestId.value);
    }
}

void SimulationRecord::addVersion(SnapshotVersion version, std::uint32_t shards)
{
    this->shardCounts[version] = shards;
}

void SimulationRecord::recordAnswer(std::uint64_t node, const AnswerCaller &effect, Instant at,
                                    bool nodeWasPaused)
{
    const auto found = this->pendingRequests.find({node, effect.query});
    if (found == this->pendingRequests.end()) {
        this->addViolation("answer without a pending request");
        return;
    }
    const PendingRequest pending = found->second;
    this->pendingRequests.erase(found);
    const Answer &answer = effect.answer;
    this->countOutcome(answer);
    RequestHistory &history = this->histories[pending.request.requestId];
    history.notRun += answer.outcome == Outcome::NotRun ? 1 : 0;
    if (!nodeWasPaused && at - pending.at > pending.request.timeLimit + answerSlack) {
        this->addViolation("late answer: " + pending.request.requestId.value);
    }
    this->checkCoverage(pending, answer);
    if (answer.outcome == Outcome::Answered) {
        this->checkHits(pending, answer, effect);
    }
}

void SimulationRecord::countOutcome(const Answer &answer)
{
    this->counts.answered += answer.outcome == Outcome::Answered ? 1 : 0;
    this->counts.notRun += answer.outcome == Outcome::NotRun ? 1 : 0;
    this->counts.failed += answer.outcome == Outcome::Failed ? 1 : 0;
    this->counts.unknown += answer.outcome == Outcome::Unknown ? 1 : 0;
    this->counts.subRequests += answer.subRequestsSent;
    this->counts.hedges += answer.hedgesSent;
}

void SimulationRecord::checkCoverage(const PendingRequest &pending, const Answer &answer)
{
    const Coverage &coverage = answer.coverage;
    const std::string &name = pending.request.requestId.value;
    if (coverage.shardsNeeded == 0) {
        return;
    }
    const std::uint32_t needed = pending.request.shard ? 1 : this->shardCounts[coverage.snapshot];
    if (coverage.shardsNeeded != needed) {
        this->addViolation("false coverage, needed: " + name);
    }
    std::set<ShardId> missing;
    for (const MissingShard &each : coverage.missing) {
        missing.insert(each.shard);
    }
    if (coverage.shardsAnswered + missing.size() != needed) {
        this->addViolation("false coverage, missing: " + name);
    }
    const auto &started =
            this->histories[pending.request.requestId].startedShards[coverage.snapshot];
    if (coverage.shardsAnswered > started.size()) {
        this->addViolation("false coverage, answered: " + name);
    }
}

void SimulationRecord::checkHits(const PendingRequest &pending, const Answer &answer,
                                 const AnswerCaller &effect)
{
    const std::string &name = pending.request.requestId.value;
    std::set<ShardId> shards;
    std::uint64_t documents = 0;
    for (const Hit &hit : answer.hits) {
        const FakeHit read = readHit(hit.json);
        shards.insert(read.shard);
        documents += fakeDocumentCount(read.shard, read.snapshot);
        if (read.requestId != name) {
            this->addViolation("another request's hit: " + name);
        }
        if (read.snapshot != answer.coverage.snapshot) {
            this->addViolation("mixed snapshot: " + name);
        }
    }
    if (shards.size() != answer.hits.size()) {
        this->addViolation("a shard merged twice: " + name);
    }
    if (effect.entry != EntryName("patterns")
        && (shards.size() != answer.coverage.shardsAnswered
            || documents != answer.coverage.documentsAnswered)) {
        this->addViolation("false coverage, hits: " + name);
    }
}

void SimulationRecord::checkAtEnd()
{
    for (const auto &[key, pending] : this->pendingRequests) {
        this->addViolation("unanswered: " + pending.request.requestId.value);
    }
    for (const auto &[id, history] : this->histories) {
        if (history.runs > 0 && history.notRun == history.sent) {
            this->addViolation("false not-run: " + id.value);
        }
    }
}

void SimulationRecord::addViolation(const std::string &what)
{
    this->foundViolations.push_back(what);
}

} // namespace lagoondeck
