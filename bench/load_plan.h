#pragma once

#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// A stream's rate at a time; it is interpolated linearly between two points.
struct RatePoint
{
    Duration at {};
    double perSecond = 0.0;
};

/// A stream of similar queries.
struct LoadStream
{
    /// The catalogue entry that the queries go to.
    std::string entry;
    /// The service behind the entry, as the stand-in targets name it.
    std::string service;
    /// Callers' names; one is drawn for each query, the first ones more often.
    std::vector<std::string> callers {"caller"};
    std::vector<RatePoint> rate;
    Duration deadline = std::chrono::milliseconds(150);
    bool idempotent = true;
    /// The number of shards that queries are spread over when the stream is not idempotent.
    std::uint32_t shards = 1;
    /// The fraction of queries that are sent a second time immediately, over another entry
    /// instance.
    double sentTwice = 0.0;
    /// The number of hits from each answering shard; 0 when the entry keeps only some of the hits.
    std::uint32_t hitsPerShard = 1;
    /// The queries per second that the service's slots can serve; 0 uses the offered rate.
    double capacityPerSecond = 0.0;
    /// The queries' body; any JSON.
    std::string body = "{}";
};

/// The configuration of a load run.
struct LoadPlan
{
    std::uint64_t seed = 1;
    Duration duration = std::chrono::seconds(10);
    /// Queries in this initial period are sent and checked, but excluded from the latencies.
    Duration warmUp {};
    /// The number of threads; each sends one query at a time.
    std::uint32_t workers = 256;
    /// The maximum number of connections to one entry instance.
    std::uint32_t connectionsPerInstance = 96;
    std::vector<LoadStream> streams;
};

/// Reads a plan in JSON with comments. Fails with MalformedInput or InvalidInput.
boost::leaf::result<LoadPlan> parseLoadPlan(std::string_view text);

/// Reads a plan file. Fails with FileUnreadable, MalformedInput or InvalidInput.
boost::leaf::result<LoadPlan> readLoadPlanFile(const std::string &path);

} // namespace lagoondeck
