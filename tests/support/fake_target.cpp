#include "tests/support/fake_target.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr std::size_t maxQueueLength = 20;
constexpr Duration medianService = std::chrono::milliseconds(3);
constexpr double serviceSigma = 0.4;
constexpr double tailProbability = 0.01;
constexpr int tailFactor = 10;

} // namespace

std::uint64_t fakeDocumentCount(ShardId shard, SnapshotVersion version)
{
    return 100 + shard.value * 10 + version.value;
}

FakeTarget::FakeTarget(TargetInstance info, EventSchedule &schedule, SimulationRandom &random,
                       Hooks hooks)
    : info(std::move(info)), schedule(schedule), random(random), hooks(std::move(hooks))
{ }

bool FakeTarget::accept(const ConnectionKey &key)
{
    if (this->connections.size() >= this->info.connectionCap) {
        return false;
    }
    this->connections.insert(key);
    return true;
}

void FakeTarget::onConnectionClosed(const ConnectionKey &key)
{
    const auto usesConnection = [&](const Job &job) { return job.key == key; };
    this->connections.erase(key);
    std::erase_if(this->queue, usesConnection);
    std::erase_if(this->running, usesConnection);
    this->runNext();
}

void FakeTarget::receive(const ConnectionKey &key, const SendSubRequest &request)
{
    const Job job {key, request, this->schedule.now() + request.deadline, ++this->lastJob};
    if (this->leaving) {
        this->refuse(job, ReplyKind::Draining);
    } else if (!this->versions.contains(request.snapshot)) {
        this->refuse(job, ReplyKind::SnapshotRetired);
    } else if (this->queue.size() >= maxQueueLength || this->random.chance(this->shedProbability)) {
        this->refuse(job, ReplyKind::Shed);
    } else {
        this->queue.push_back(job);
        this->runNext();
    }
}

void FakeTarget::cancel(std::uint64_t node, AttemptId attempt)
{
    const auto isCancelled = [&](const Job &job) {
        return job.key.node == node && job.request.attempt == attempt;
    };
    if (const auto found = std::ranges::find_if(this->queue, isCancelled);
        found != this->queue.end()) {
        this->refuse(*found, ReplyKind::CancelledBeforeRun);
        this->queue.erase(found);
    }
    const auto found = std::ranges::find_if(this->running, isCancelled);
    if (found != this->running.end()) {
        this->refuse(*found, ReplyKind::CancelledWhileRunning);
        this->running.erase(found);
        this->runNext();
    }
}

TargetReport FakeTarget::report()
{
    TargetReport report;
    for (const auto &[version, shards] : this->versions) {
        report.snapshots.push_back({version, shards});
    }
    report.leaving = this->leaving;
    const std::size_t load = this->queue.size() + this->running.size();
    report.inFlight =
            static_cast<std::uint32_t>(this->misreportsLoad ? this->random.number(0, 50) : load);
    return report;
}

void FakeTarget::crash()
{
    this->alive = false;
    this->queue.clear();
    this->running.clear();
    this->connections.clear();
    this->hooks.crashed(*this);
}

void FakeTarget::pauseFor(Duration duration)
{
    this->pausedUntil = std::max(this->pausedUntil, this->schedule.now() + duration);
}

void FakeTarget::runAfterPause(std::function<void()> action)
{
    if (this->schedule.now() >= this->pausedUntil) {
        action();
        return;
    }
    this->schedule.at(this->pausedUntil, [this, action = std::move(action)]() mutable {
        this->runAfterPause(std::move(action));
    });
}

void FakeTarget::refuse(const Job &job, ReplyKind kind)
{
    TargetReplied reply;
    reply.attempt = job.request.attempt;
    reply.connection = job.key.connection;
    reply.kind = kind;
    reply.report = this->report();
    this->hooks.reply(job.key, std::move(reply));
}

void FakeTarget::runNext()
{
    while (!this->queue.empty() && this->running.size() < this->info.slots) {
        Job job = std::move(this->queue.front());
        this->queue.pop_front();
        if (this->schedule.now() >= job.deadline) {
            this->refuse(job, ReplyKind::ExpiredBeforeRun);
        } else {
            this->startJob(std::move(job));
        }
    }
}

void FakeTarget::startJob(Job job)
{
    this->hooks.subRequestStarted(job.request, job.key);
    const std::uint64_t number = job.number;
    const bool poison = job.request.body && *job.request.body == poisonBody;
    Duration time = this->random.logNormal(medianService, serviceSigma);
    time *= this->random.chance(tailProbability) ? tailFactor : 1;
    time = Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * this->slowdown));
    this->running.push_back(std::move(job));
    if (poison) {
        this->schedule.after(Duration(100), [this] {
            if (this->alive) {
                this->crash();
                this->schedule.after(std::chrono::seconds(1), [this] { this->restart(); });
            }
        });
        return;
    }
    this->schedule.after(time, [this, number] {
        this->runAfterPause([this, number] { this->finishJob(number); });
    });
}

void FakeTarget::finishJob(std::uint64_t number)
{
    const auto found = std::ranges::find(this->running, number, &Job::number);
    if (found == this->running.end()) {
        return;
    }
    const Job job = std::move(*found);
    this->running.erase(found);
    if (this->schedule.now() > job.deadline) {
        this->refuse(job, ReplyKind::CancelledWhileRunning);
    } else if (!this->versions.contains(job.request.snapshot) && this->random.chance(0.5)) {
        this->refuse(job, ReplyKind::Failed);
    } else {
        this->hooks.reply(job.key, this->answerTo(job));
    }
    this->runNext();
}

TargetReplied FakeTarget::answerTo(const Job &job)
{
    TargetReplied reply;
    reply.attempt = job.request.attempt;
    reply.connection = job.key.connection;
    reply.kind = ReplyKind::Answered;
    reply.snapshot = job.request.snapshot;
    reply.documents = fakeDocumentCount(job.request.shard, job.request.snapshot);
    reply.serviceTime = medianService;
    reply.hits = {{0.5,
                   job.request.requestId.value + "|" + std::to_string(job.request.shard.value) + "|"
                           + std::to_string(job.request.snapshot.value)}};
    reply.report = this->report();
    return reply;
}

} // namespace lagoondeck
