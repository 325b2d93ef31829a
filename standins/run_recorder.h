#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// How often a request started to run on one shard of one index version.
struct ShardRuns
{
    std::uint32_t shard = 0;
    std::uint64_t version = 0;
    std::uint32_t runs = 0;
};

/// The recorded runs of one request.
struct RequestRuns
{
    bool idempotent = true;
    std::vector<ShardRuns> shards;
};

/// Runs by key: service, caller and request id, separated by tabs.
using RunsByRequest = std::unordered_map<std::string, RequestRuns>;

/// Records the requests that ran on the stand-in targets, so that lost and duplicate runs are
/// counted where they happen and not from the reports of the entry instances.
class RunRecorder
{
public:
    void record(const std::string &service, const std::string &caller, const std::string &requestId,
                bool idempotent, std::uint32_t shard, std::uint64_t version);

    /// Returns one line per request with fields separated by tabs: service, caller, request id,
    /// "repeatable" or "once", then "shard:version:runs" separated by commas.
    std::string dump() const;
    void clear() { this->requests.clear(); }

private:
    RunsByRequest requests;
};

/// Returns the key of a request in RunsByRequest.
std::string runKey(const std::string &service, const std::string &caller,
                   const std::string &requestId);

/// Parses the output of RunRecorder::dump.
RunsByRequest parseRunDump(const std::string &dump);

} // namespace lagoondeck
