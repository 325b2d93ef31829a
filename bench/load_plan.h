#pragma once

#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// A stream's rate at one moment; between two points it changes evenly.
struct RatePoint
{
    Duration at {};
    double perSecond = 0.0;
};

/// A stream of alike queries.
struct LoadStream
{
    /// The catalogue entry that is asked.
    std::string entry;
    /// The service behind the entry, as the stand-in targets name it.
    std::string service;
    /// Callers' names; each query takes one of them, the first ones more often.
    std::vector<std::string> callers {"caller"};
    std::vector<RatePoint> rate;
    Duration deadline = std::chrono::milliseconds(150);
    bool idempotent = true;
    /// Shards to choose from when the stream is not idempotent.
    std::uint32_t shards = 1;
    /// This part of the queries is sent a second time, at once, by another entry instance.
    double sentTwice = 0.0;
    /// Hits of each answering shard; 0 when the entry keeps only some of the hits.
    std::uint32_t hitsPerShard = 1;
    /// Queries a second that the service's slots can serve; 0 takes the offered rate.
    double capacityPerSecond = 0.0;
    /// Any JSON.
    std::string body = "{}";
};

/// What a load run does.
struct LoadPlan
{
    std::uint64_t seed = 1;
    Duration duration = std::chrono::seconds(10);
    /// Queries of this first part are sent and checked, but left out of the latencies.
    Duration warmUp {};
    /// Threads that each carry one query at a time.
    std::uint32_t workers = 256;
    /// Connections kept to one entry instance at most.
    std::uint32_t connectionsPerInstance = 96;
    std::vector<LoadStream> streams;
};

/// Reads a plan in JSON with comments. Fails with MalformedInput or InvalidInput.
boost::leaf::result<LoadPlan> parseLoadPlan(std::string_view text);

/// Reads a plan file. Fails with FileUnreadable, MalformedInput or InvalidInput.
boost::leaf::result<LoadPlan> readLoadPlanFile(const std::string &path);

} // namespace lagoondeck
