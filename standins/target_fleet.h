#pragma once

#include "standins/event_loop.h"
#include "standins/http_server.h"
#include "standins/run_recorder.h"
#include "standins/target.h"
#include "standins/topology.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace lagoondeck {

/// All stand-in targets of a topology in one process, with a control port.
/// `POST /v1/control`, `GET /v1/counts`, `GET /v1/ran`, `GET /v1/targets`, `GET /v1/versions`,
/// `POST /v1/reset`.
class TargetFleet
{
public:
    TargetFleet(EventLoop &loop, Topology topology);

    void start();
    const std::string &controlAddress() const { return this->control.boundAddress(); }
    /// Returns the targets with the addresses at which they serve.
    InstanceList list() const;

private:
    void onRequest(HttpConnection &connection, const ReceivedRequest &message);
    void onControl(HttpConnection &connection, const ReceivedRequest &message);
    /// Returns the targets that a command selects by "targets", "service", "failureDomain", "round"
    /// and "fraction".
    std::vector<Target *> select(const nlohmann::json &command);
    /// Executes one command. Returns false if the action is unknown.
    bool apply(const std::string &action, const nlohmann::json &command,
               const std::vector<Target *> &targets);
    void rollOutVersion(const nlohmann::json &command, const std::vector<Target *> &targets);
    nlohmann::json counts();
    void reset();

    EventLoop &loop;
    Topology topology;
    RunRecorder runRecorder;
    /// Shard counts of all current and former index versions, by service and version.
    std::map<std::string, std::map<std::string, std::uint32_t>> shardCounts;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Target>> targets;
    HttpServer control;
};

} // namespace lagoondeck
