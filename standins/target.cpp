#include "standins/target.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace lagoondeck {

namespace {

/// A target is slower by this factor shortly after a restart.
constexpr double coldFactor = 3.0;
/// On average, a timer fires late by half of the poll's resolution.
constexpr Duration meanTimerDelay = std::chrono::microseconds(500);
/// Sub-requests that arrive later than this after the target began to leave are counted separately.
constexpr Duration leavingGrace = std::chrono::seconds(3);
const std::string attemptsPath = "/v1/attempts/";
const std::string shardsPath = "/v1/shards/";

std::uint64_t toNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

Target::Target(EventLoop &loop, const ServiceTopology &service, TargetInstance instance,
               RunRecorder &runRecorder, std::uint64_t seed)
    : loop(loop), service(service), self(std::move(instance)), runRecorder(runRecorder),
      random(seed), server(loop, this->self.address,
                           {[this](HttpConnection &connection, const ReceivedRequest &message) {
                                this->onRequest(connection, message);
                            },
                            [this](HttpConnection &connection) { this->onAccepted(connection); },
                            [this](HttpConnection &connection) { this->onClosed(connection); }})
{
    this->adoptVersion(service.version, service.shards);
}

void Target::start()
{
    this->server.listen();
    this->self.address = this->server.boundAddress();
}

void Target::setLeaving(bool leaving)
{
    this->leavingSince = leaving ? std::optional(EventLoop::now()) : std::nullopt;
}

void Target::crash(std::optional<Duration> downTime)
{
    ++this->targetCounts.crashes;
    for (Jobs *jobs : {&this->waiting, &this->running}) {
        for (Job &job : *jobs) {
            this->cancelTimer(job);
        }
        jobs->clear();
    }
    this->server.closeAll();
    this->recordLoad();
    if (downTime) {
        this->loop.after(*downTime, [this] { this->revive(); });
    }
}

void Target::revive()
{
    try {
        this->server.listen();
    } catch (const Poco::Exception &) {
        // The port is not free yet.
        this->loop.after(std::chrono::milliseconds(100), [this] { this->revive(); });
        return;
    }
    this->leavingSince.reset();
    this->coldUntil = EventLoop::now() + this->service.coldTime;
}

void Target::setPoison(std::string text, Duration downTime)
{
    this->poison = std::move(text);
    this->poisonDownTime = downTime;
}

void Target::adoptVersion(std::uint64_t version, std::uint32_t shardCount)
{
    if (this->self.shard.value < shardCount) {
        this->versions[version] = shardCount;
    }
}

void Target::retireBelow(std::uint64_t version)
{
    this->versions.erase(this->versions.begin(), this->versions.lower_bound(version));
}

void Target::onAccepted(HttpConnection &connection)
{
    if (this->acceptedConnections >= this->self.connectionCap) {
        ++this->targetCounts.connectionsRefused;
        this->refused.insert(connection.number());
        connection.replyAndClose(503, {{"Lagoon-Not-Run", "connection-cap"}});
        return;
    }
    ++this->acceptedConnections;
    ++this->targetCounts.connectionsAccepted;
    this->targetCounts.mostConnections =
            std::max<std::uint64_t>(this->targetCounts.mostConnections, this->acceptedConnections);
    connection.delayRequests(this->service.connectCost);
}

void Target::onClosed(HttpConnection &connection)
{
    if (this->refused.erase(connection.number()) == 0) {
        --this->acceptedConnections;
    }
    const auto usesConnection = [&](const Job &job) {
        return job.connection == connection.number();
    };
    if (const auto job = std::ranges::find_if(this->waiting, usesConnection);
        job != this->waiting.end()) {
        ++this->targetCounts.cancelledWaiting;
        this->cancelTimer(*job);
        this->waiting.erase(job);
    }
    if (const auto job = std::ranges::find_if(this->running, usesConnection);
        job != this->running.end()) {
        ++this->targetCounts.cancelledRunning;
        this->cancelTimer(*job);
        this->running.erase(job);
        this->startWaiting();
    }
    this->recordLoad();
}

void Target::onRequest(HttpConnection &connection, const ReceivedRequest &message)
{
    const std::string path = message.path();
    const std::string &method = message.head.getMethod();
    if (method == "GET" && path == "/v1/health") {
        connection.reply(200, this->reportHeaders(), "");
    } else if (method == "DELETE" && path.starts_with(attemptsPath)) {
        std::string attempt;
        Poco::URI::decode(path.substr(attemptsPath.size()), attempt);
        this->onCancel(attempt);
        connection.reply(204, this->reportHeaders(), "");
    } else if (method == "POST" && path.starts_with(shardsPath)) {
        this->onQuery(connection, message);
    } else {
        connection.reply(404, {}, "");
    }
}

void Target::onQuery(HttpConnection &connection, const ReceivedRequest &message)
{
    ++this->targetCounts.received;
    Job job = this->readJob(connection, message);
    const std::uint64_t shard = toNumber(message.path().substr(shardsPath.size()));
    if (this->leavingSince) {
        ++this->targetCounts.refusedLeaving;
        if (EventLoop::now() - *this->leavingSince > leavingGrace) {
            ++this->targetCounts.receivedLongAfterLeaving;
        }
        this->replyNotRun(job, 503, "draining");
    } else if (shard != this->self.shard.value || !this->versions.contains(job.version)) {
        ++this->targetCounts.refusedVersion;
        this->replyNotRun(job, 410, "snapshot");
    } else if (this->shedding
               || (this->running.size() >= this->self.slots
                   && this->waiting.size() >= this->service.queueLimit)) {
        ++this->targetCounts.shed;
        this->replyNotRun(job, 503, "shed");
    } else {
        this->enqueue(std::move(job));
    }
}

Target::Job Target::readJob(const HttpConnection &connection, const ReceivedRequest &message) const
{
    Job job;
    job.connection = connection.number();
    job.attempt = message.header("Lagoon-Attempt");
    job.requestId = message.header("Lagoon-Request");
    job.caller = message.header("Lagoon-Caller");
    job.version = toNumber(message.header("Lagoon-Snapshot"));
    job.idempotent = message.header("Lagoon-Idempotent") != "false";
    job.poisoned = !this->poison.empty() && message.body.find(this->poison) != std::string::npos;
    if (const std::string left = message.header("Lagoon-Deadline-Us"); !left.empty()) {
        job.deadline = EventLoop::now() + Duration(static_cast<Duration::rep>(toNumber(left)));
    }
    return job;
}

void Target::onCancel(const std::string &attempt)
{
    const auto isCancelled = [&](const Job &job) { return job.attempt == attempt; };
    if (const auto job = std::ranges::find_if(this->waiting, isCancelled);
        job != this->waiting.end()) {
        ++this->targetCounts.cancelledWaiting;
        Job cancelled = std::move(*job);
        this->waiting.erase(job);
        this->cancelTimer(cancelled);
        this->replyNotRun(cancelled, 409, "cancelled");
    } else if (const auto job = std::ranges::find_if(this->running, isCancelled);
               job != this->running.end()) {
        ++this->targetCounts.cancelledRunning;
        this->finish(job, 409, {{"Lagoon-Ran", "cancelled"}});
    }
    this->recordLoad();
}

void Target::enqueue(Job job)
{
    this->waiting.push_back(std::move(job));
    const auto added = std::prev(this->waiting.end());
    if (added->deadline) {
        const Duration left = *added->deadline - EventLoop::now();
        added->timer = this->loop.after(left, [this, added] { this->expireWaiting(added); });
    }
    this->startWaiting();
    this->recordLoad();
}

void Target::expireWaiting(Jobs::iterator job)
{
    ++this->targetCounts.expiredWaiting;
    const Job expired = std::move(*job);
    this->waiting.erase(job);
    this->replyNotRun(expired, 504, "expired");
    this->recordLoad();
}

void Target::startWaiting()
{
    while (!this->waiting.empty() && this->running.size() < this->self.slots) {
        const auto job = this->waiting.begin();
        this->cancelTimer(*job);
        if (!this->versions.contains(job->version)) {
            ++this->targetCounts.refusedVersion;
            const Job refused = std::move(*job);
            this->waiting.erase(job);
            this->replyNotRun(refused, 410, "snapshot");
            continue;
        }
        this->running.splice(this->running.end(), this->waiting, job);
        this->run(job);
    }
}

void Target::run(Jobs::iterator job)
{
    ++this->targetCounts.started;
    job->startedAt = EventLoop::now();
    this->runRecorder.record(this->service.name, job->caller, job->requestId, job->idempotent,
                             this->self.shard.value, job->version);
    if (job->poisoned) {
        this->loop.after(Duration(0), [this] { this->crash(this->poisonDownTime); });
        return;
    }
    const Duration service = this->drawServiceTime();
    const Duration left = job->deadline ? *job->deadline - job->startedAt : service;
    if (service <= left) {
        job->timer = this->loop.after(service, [this, job] { this->answer(job); });
        return;
    }
    job->timer = this->loop.after(left, [this, job] {
        ++this->targetCounts.expiredRunning;
        this->finish(job, 409, {{"Lagoon-Ran", "cancelled"}});
    });
}

void Target::answer(Jobs::iterator job)
{
    ++this->targetCounts.answered;
    const Duration took = EventLoop::now() - job->startedAt;
    const std::uint64_t documents =
            documentsOf(this->service.name, this->self.shard.value, job->version);
    this->finish(job, 200,
                 {{"Lagoon-Snapshot", std::to_string(job->version)},
                  {"Lagoon-Documents", std::to_string(documents)},
                  {"Lagoon-Service-Us", std::to_string(took.count())}},
                 this->makeHits(*job));
}

void Target::finish(Jobs::iterator job, int status, HttpHeaders headers, const std::string &body)
{
    Job finished = std::move(*job);
    this->running.erase(job);
    this->cancelTimer(finished);
    this->reply(finished, status, std::move(headers), body);
    this->startWaiting();
    this->recordLoad();
}

void Target::replyNotRun(const Job &job, int status, const std::string &reason)
{
    this->reply(job, status, {{"Lagoon-Not-Run", reason}}, "");
}

void Target::reply(const Job &job, int status, HttpHeaders headers, const std::string &body)
{
    const auto connection = this->server.find(job.connection);
    if (!connection) {
        return;
    }
    for (auto &header : this->reportHeaders()) {
        headers.push_back(std::move(header));
    }
    headers.emplace_back("Lagoon-Attempt", job.attempt);
    connection->reply(status, headers, body);
}

Duration Target::drawServiceTime()
{
    const double sigma = this->service.serviceSigma;
    const double mean = static_cast<double>(this->service.meanService.count());
    if (mean <= 0.0) {
        return Duration(0);
    }
    // The median is chosen so that the mean has the configured value.
    std::lognormal_distribution<double> distribution(std::log(mean) - sigma * sigma / 2.0, sigma);
    double time = distribution(this->random) * this->slowdown;
    if (std::bernoulli_distribution(this->service.tailProbability)(this->random)) {
        time *= this->service.tailFactor;
    }
    if (this->isCold()) {
        time *= coldFactor;
    }
    return std::max(Duration(0), Duration(static_cast<Duration::rep>(time)) - meanTimerDelay);
}

HttpHeaders Target::reportHeaders()
{
    std::string announced;
    for (const auto &[version, shards] : this->versions) {
        announced += announced.empty() ? "" : ",";
        announced += std::to_string(version) + "/" + std::to_string(shards);
    }
    const std::uint32_t inFlight = this->loadReport.reported(EventLoop::now());
    HttpHeaders headers {{"Lagoon-Snapshots", announced},
                         {"Lagoon-In-Flight", std::to_string(inFlight)}};
    if (this->leavingSince) {
        headers.emplace_back("Lagoon-Leaving", "true");
    }
    if (this->isCold()) {
        headers.emplace_back("Lagoon-Cold", "true");
    }
    return headers;
}

std::string Target::makeHits(const Job &job) const
{
    nlohmann::json hits = nlohmann::json::array();
    for (std::uint32_t i = 0; i < this->service.hitsPerShard; ++i) {
        const std::string id = job.requestId + "/" + std::to_string(this->self.shard.value) + "/"
                + std::to_string(i);
        const auto hash = static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()));
        hits.push_back({{"score", static_cast<double>(hash) / 4294967296.0},
                        {"id", id},
                        {"target", this->self.id.value},
                        {"shard", this->self.shard.value},
                        {"version", job.version},
                        {"caller", job.caller},
                        {"requestId", job.requestId}});
    }
    return nlohmann::json {{"hits", std::move(hits)}}.dump();
}

bool Target::isCold() const
{
    return EventLoop::now() < this->coldUntil;
}

void Target::recordLoad()
{
    const std::size_t inFlight = this->waiting.size() + this->running.size();
    this->loadReport.record(EventLoop::now(), static_cast<std::uint32_t>(inFlight));
}

void Target::cancelTimer(Job &job)
{
    if (job.timer) {
        this->loop.cancel(*job.timer);
        job.timer.reset();
    }
}

} // namespace lagoondeck
