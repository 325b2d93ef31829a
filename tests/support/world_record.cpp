#include "tests/support/world_record.h"

#include "tests/support/fake_target.h"

#include <algorithm>
#include <charconv>

namespace lagoondeck {

namespace {

/// An answer may come this late after the caller's deadline.
constexpr Duration answerSlack = std::chrono::milliseconds(1);

/// A hit as a fake target writes it.
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

void WorldRecord::asked(std::uint64_t node, const CallerRequest &request, Instant at)
{
    ++this->counts.asked;
    this->open[{node, request.query}] = {request, at};
    RequestFate &fate = this->fates[request.requestId];
    fate.idempotent = request.idempotent;
    ++fate.asked;
}

void WorldRecord::crashed(std::uint64_t node)
{
    this->counts.cutByCrash +=
            std::erase_if(this->open, [&](const auto &each) { return each.first.first == node; });
}

void WorldRecord::ran(const SendSubRequest &request)
{
    ++this->counts.runs;
    RequestFate &fate = this->fates[request.requestId];
    ++fate.runs;
    fate.ranIn[request.snapshot].insert(request.shard);
    if (!fate.idempotent && fate.runs > 1) {
        this->violate("doubled: " + request.requestId.value);
    }
}

void WorldRecord::versionMade(SnapshotVersion version, std::uint32_t shards)
{
    this->shardCounts[version] = shards;
}

void WorldRecord::answered(std::uint64_t node, const AnswerCaller &effect, Instant at,
                           bool nodeSlept)
{
    const auto found = this->open.find({node, effect.query});
    if (found == this->open.end()) {
        this->violate("an answer that nobody waits for");
        return;
    }
    const Asked asked = found->second;
    this->open.erase(found);
    const Answer &answer = effect.answer;
    this->count(answer);
    RequestFate &fate = this->fates[asked.request.requestId];
    fate.notRun += answer.outcome == Outcome::NotRun ? 1 : 0;
    if (!nodeSlept && at - asked.at > asked.request.budget + answerSlack) {
        this->violate("late answer: " + asked.request.requestId.value);
    }
    this->checkCoverage(asked, answer);
    if (answer.outcome == Outcome::Answered) {
        this->checkHits(asked, answer, effect);
    }
}

void WorldRecord::count(const Answer &answer)
{
    this->counts.answered += answer.outcome == Outcome::Answered ? 1 : 0;
    this->counts.notRun += answer.outcome == Outcome::NotRun ? 1 : 0;
    this->counts.failed += answer.outcome == Outcome::Failed ? 1 : 0;
    this->counts.unknown += answer.outcome == Outcome::Unknown ? 1 : 0;
    this->counts.subRequests += answer.subRequestsSent;
    this->counts.hedges += answer.hedgesSent;
}

void WorldRecord::checkCoverage(const Asked &asked, const Answer &answer)
{
    const Coverage &coverage = answer.coverage;
    const std::string &name = asked.request.requestId.value;
    if (coverage.shardsNeeded == 0) {
        return;
    }
    const std::uint32_t needed = asked.request.shard ? 1 : this->shardCounts[coverage.snapshot];
    if (coverage.shardsNeeded != needed) {
        this->violate("false coverage, needed: " + name);
    }
    std::set<ShardId> missing;
    for (const MissingShard &each : coverage.missing) {
        missing.insert(each.shard);
    }
    if (coverage.shardsAnswered + missing.size() != needed) {
        this->violate("false coverage, missing: " + name);
    }
    const auto &ran = this->fates[asked.request.requestId].ranIn[coverage.snapshot];
    if (coverage.shardsAnswered > ran.size()) {
        this->violate("false coverage, answered: " + name);
    }
}

void WorldRecord::checkHits(const Asked &asked, const Answer &answer, const AnswerCaller &effect)
{
    const std::string &name = asked.request.requestId.value;
    std::set<ShardId> shards;
    std::uint64_t documents = 0;
    for (const Hit &hit : answer.hits) {
        const FakeHit read = readHit(hit.json);
        shards.insert(read.shard);
        documents += fakeDocuments(read.shard, read.snapshot);
        if (read.requestId != name) {
            this->violate("another request's hit: " + name);
        }
        if (read.snapshot != answer.coverage.snapshot) {
            this->violate("mixed snapshot: " + name);
        }
    }
    if (shards.size() != answer.hits.size()) {
        this->violate("a shard merged twice: " + name);
    }
    if (effect.entry != EntryName("patterns")
        && (shards.size() != answer.coverage.shardsAnswered
            || documents != answer.coverage.documentsAnswered)) {
        this->violate("false coverage, hits: " + name);
    }
}

void WorldRecord::checkAtEnd()
{
    for (const auto &[key, asked] : this->open) {
        this->violate("lost: " + asked.request.requestId.value);
    }
    for (const auto &[id, fate] : this->fates) {
        if (fate.runs > 0 && fate.notRun == fate.asked) {
            this->violate("false not-run: " + id.value);
        }
    }
}

void WorldRecord::violate(const std::string &what)
{
    this->found.push_back(what);
}

} // namespace lagoondeck
