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

/// A target that has just come back is slower by this factor.
constexpr double coldFactor = 3.0;
/// A timer fires late by half the poll's resolution in the mean.
constexpr Duration meanTimerDelay = std::chrono::microseconds(500);
/// New work that comes later than this after leaving began is counted apart.
constexpr Duration leavingGrace = std::chrono::seconds(3);
const std::string attemptsPath = "/v1/attempts/";
const std::string shardsPath = "/v1/shards/";

std::uint64_t toNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

Target::Target(EventLoop &loop, const ServiceTopology &service, TargetInstance instance,
               RunLedger &ledger, std::uint64_t seed)
    : loop(loop), service(service), self(std::move(instance)), ledger(ledger), random(seed),
      server(loop, this->self.address,
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
    ++this->ownCounts.crashes;
    for (Jobs *jobs : {&this->waiting, &this->running}) {
        for (Job &job : *jobs) {
            this->dropTimer(job);
        }
        jobs->clear();
    }
    this->server.closeAll();
    this->noteLoad();
    if (downTime) {
        this->loop.after(*downTime, [this] { this->revive(); });
    }
}

void Target::revive()
{
    try {
        this->server.listen();
    } catch (const Poco::Exception &) {
        // The port is not free again yet.
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
        ++this->ownCounts.connectionsRefused;
        this->refused.insert(connection.number());
        connection.replyAndClose(503, {{"Lagoon-Not-Run", "connection-cap"}});
        return;
    }
    ++this->acceptedConnections;
    ++this->ownCounts.connectionsAccepted;
    this->ownCounts.mostConnections =
            std::max<std::uint64_t>(this->ownCounts.mostConnections, this->acceptedConnections);
    connection.delayRequests(this->service.connectCost);
}

void Target::onClosed(HttpConnection &connection)
{
    if (this->refused.erase(connection.number()) == 0) {
        --this->acceptedConnections;
    }
    const auto ofConnection = [&](const Job &job) { return job.connection == connection.number(); };
    if (const auto job = std::ranges::find_if(this->waiting, ofConnection);
        job != this->waiting.end()) {
        ++this->ownCounts.cancelledWaiting;
        this->dropTimer(*job);
        this->waiting.erase(job);
    }
    if (const auto job = std::ranges::find_if(this->running, ofConnection);
        job != this->running.end()) {
        ++this->ownCounts.cancelledRunning;
        this->dropTimer(*job);
        this->running.erase(job);
        this->startWaiting();
    }
    this->noteLoad();
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
    ++this->ownCounts.received;
    Job job = this->readJob(connection, message);
    const std::uint64_t shard = toNumber(message.path().substr(shardsPath.size()));
    if (this->leavingSince) {
        ++this->ownCounts.refusedLeaving;
        if (EventLoop::now() - *this->leavingSince > leavingGrace) {
            ++this->ownCounts.receivedLongAfterLeaving;
        }
        this->replyNotRun(job, 503, "draining");
    } else if (shard != this->self.shard.value || !this->versions.contains(job.version)) {
        ++this->ownCounts.refusedVersion;
        this->replyNotRun(job, 410, "snapshot");
    } else if (this->shedding
               || (this->running.size() >= this->self.slots
                   && this->waiting.size() >= this->service.queueLimit)) {
        ++this->ownCounts.shed;
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
        ++this->ownCounts.cancelledWaiting;
        Job cancelled = std::move(*job);
        this->waiting.erase(job);
        this->dropTimer(cancelled);
        this->replyNotRun(cancelled, 409, "cancelled");
    } else if (const auto job = std::ranges::find_if(this->running, isCancelled);
               job != this->running.end()) {
        ++this->ownCounts.cancelledRunning;
        this->finish(job, 409, {{"Lagoon-Ran", "cancelled"}});
    }
    this->noteLoad();
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
    this->noteLoad();
}

void Target::expireWaiting(Jobs::iterator job)
{
    ++this->ownCounts.expiredWaiting;
    const Job expired = std::move(*job);
    this->waiting.erase(job);
    this->replyNotRun(expired, 504, "expired");
    this->noteLoad();
}

void Target::startWaiting()
{
    while (!this->waiting.empty() && this->running.size() < this->self.slots) {
        const auto job = this->waiting.begin();
        this->dropTimer(*job);
        if (!this->versions.contains(job->version)) {
            ++this->ownCounts.refusedVersion;
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
    ++this->ownCounts.started;
    job->startedAt = EventLoop::now();
    this->ledger.record(this->service.name, job->caller, job->requestId, job->idempotent,
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
        ++this->ownCounts.expiredRunning;
        this->finish(job, 409, {{"Lagoon-Ran", "cancelled"}});
    });
}

void Target::answer(Jobs::iterator job)
{
    ++this->ownCounts.answered;
    const Duration took = EventLoop::now() - job->startedAt;
    const std::uint64_t documents =
            documentsOf(this->service.name, this->self.shard.value, job->version);
    this->finish(job, 200,
                 {{"Lagoon-Snapshot", std::to_string(job->version)},
                  {"Lagoon-Documents", std::to_string(documents)},
                  {"Lagoon-Service-Us", std::to_string(took.count())}},
                 this->hitsOf(*job));
}

void Target::finish(Jobs::iterator job, int status, HttpHeaders headers, const std::string &body)
{
    Job finished = std::move(*job);
    this->running.erase(job);
    this->dropTimer(finished);
    this->reply(finished, status, std::move(headers), body);
    this->startWaiting();
    this->noteLoad();
}

void Target::replyNotRun(const Job &job, int status, const std::string &why)
{
    this->reply(job, status, {{"Lagoon-Not-Run", why}}, "");
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
    // The middle is set so that the mean is as told.
    std::lognormal_distribution<double> spread(std::log(mean) - sigma * sigma / 2.0, sigma);
    double time = spread(this->random) * this->slowdown;
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

std::string Target::hitsOf(const Job &job) const
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

void Target::noteLoad()
{
    const std::size_t inFlight = this->waiting.size() + this->running.size();
    this->loadReport.record(EventLoop::now(), static_cast<std::uint32_t>(inFlight));
}

void Target::dropTimer(Job &job)
{
    if (job.timer) {
        this->loop.cancel(*job.timer);
        job.timer.reset();
    }
}

} // namespace lagoondeck
