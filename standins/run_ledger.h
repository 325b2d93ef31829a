#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// How often a request began to run on one shard, for one version.
struct ShardRuns
{
    std::uint32_t shard = 0;
    std::uint64_t version = 0;
    std::uint32_t runs = 0;
};

/// What ran of one request.
struct RequestRuns
{
    bool idempotent = true;
    std::vector<ShardRuns> shards;
};

/// What ran, by service, caller and request id parted by tabs.
using RunsByRequest = std::unordered_map<std::string, RequestRuns>;

/// Records what ran on all stand-in targets, so that lost and doubled work is counted by the side
/// that did it.
class RunLedger
{
public:
    void record(const std::string &service, const std::string &caller, const std::string &requestId,
                bool idempotent, std::uint32_t shard, std::uint64_t version);

    /// One line a request, fields parted by tabs: service, caller, request id, "repeatable" or
    /// "once", then "shard:version:runs" parted by commas.
    std::string dump() const;
    void clear() { this->requests.clear(); }

private:
    RunsByRequest requests;
};

/// The key of one request in RunsByRequest.
std::string runKey(const std::string &service, const std::string &caller,
                   const std::string &requestId);

/// Reads what RunLedger::dump wrote.
RunsByRequest parseRunDump(const std::string &dump);

} // namespace lagoondeck
