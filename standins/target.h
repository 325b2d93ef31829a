#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "standins/http_server.h"
#include "standins/load_report.h"
#include "standins/run_recorder.h"
#include "standins/target_counts.h"
#include "standins/topology.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace lagoondeck {

/// A stand-in target: one shard of one service on its own port. Serving a sub-request only sets a
/// timer, so that many targets can run in one thread.
class Target
{
public:
    Target(EventLoop &loop, const ServiceTopology &service, TargetInstance instance,
           RunRecorder &runRecorder, std::uint64_t seed);

    void start();

    void setSlowdown(double factor) { this->slowdown = factor; }
    void setShedding(bool shedding) { this->shedding = shedding; }
    /// Refuses new sub-requests and reports that it is leaving; accepted ones are finished.
    void setLeaving(bool leaving);
    /// Closes the port and all connections. The target restarts, slower at first, after the
    /// given time or, without one, on revive().
    void crash(std::optional<Duration> downTime);
    void revive();
    /// Sets the text that crashes the target when it starts to run a request whose body contains
    /// it.
    void setPoison(std::string text, Duration downTime);
    /// Announces an index version if the shard exists in it.
    void adoptVersion(std::uint64_t version, std::uint32_t shardCount);
    /// Drops the index versions below the given one.
    void retireBelow(std::uint64_t version);

    LoadReport &report() { return this->loadReport; }
    const TargetInstance &instance() const { return this->self; }
    TargetCounts &counts() { return this->targetCounts; }

private:
    struct Job
    {
        std::uint64_t connection = 0;
        std::string attempt;
        std::string requestId;
        std::string caller;
        std::uint64_t version = 0;
        bool idempotent = true;
        bool poisoned = false;
        std::optional<Instant> deadline;
        Instant startedAt {};
        std::optional<EventLoop::TimerId> timer;
    };
    using Jobs = std::list<Job>;

    void onAccepted(HttpConnection &connection);
    void onClosed(HttpConnection &connection);
    void onRequest(HttpConnection &connection, const ReceivedRequest &message);
    void onQuery(HttpConnection &connection, const ReceivedRequest &message);
    void onCancel(const std::string &attempt);
    Job readJob(const HttpConnection &connection, const ReceivedRequest &message) const;
    void enqueue(Job job);
    void expireWaiting(Jobs::iterator job);
    void startWaiting();
    void run(Jobs::iterator job);
    void answer(Jobs::iterator job);
    /// Releases the job's slot and replies.
    void finish(Jobs::iterator job, int status, HttpHeaders headers, const std::string &body = "");
    void replyNotRun(const Job &job, int status, const std::string &reason);
    void reply(const Job &job, int status, HttpHeaders headers, const std::string &body);
    Duration drawServiceTime();
    HttpHeaders reportHeaders();
    std::string makeHits(const Job &job) const;
    bool isCold() const;
    void recordLoad();
    void cancelTimer(Job &job);

    EventLoop &loop;
    const ServiceTopology &service;
    TargetInstance self;
    RunRecorder &runRecorder;
    std::mt19937_64 random;
    HttpServer server;
    std::map<std::uint64_t, std::uint32_t> versions;
    Jobs waiting;
    Jobs running;
    LoadReport loadReport;
    TargetCounts targetCounts;
    std::uint32_t acceptedConnections = 0;
    /// Connections refused because of the cap, until they are closed.
    std::set<std::uint64_t> refused;
    double slowdown = 1.0;
    bool shedding = false;
    std::optional<Instant> leavingSince;
    Instant coldUntil {};
    std::string poison;
    Duration poisonDownTime {};
};

} // namespace lagoondeck
