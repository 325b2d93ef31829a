#include "standins/run_ledger.h"

#include <algorithm>

namespace lagoondeck {

void RunLedger::record(const std::string &service, const std::string &caller,
                       const std::string &requestId, bool idempotent, std::uint32_t shard,
                       std::uint64_t version)
{
    RequestRuns &request = this->requests[service + '\t' + caller + '\t' + requestId];
    request.idempotent = request.idempotent && idempotent;
    const auto found = std::ranges::find_if(request.shards, [&](const ShardRuns &runs) {
        return runs.shard == shard && runs.version == version;
    });
    if (found == request.shards.end()) {
        request.shards.push_back({shard, version, 1});
    } else {
        ++found->runs;
    }
}

std::string RunLedger::dump() const
{
    std::string text;
    for (const auto &[key, request] : this->requests) {
        text += key;
        text += request.idempotent ? "\trepeatable\t" : "\tonce\t";
        for (const ShardRuns &runs : request.shards) {
            text += std::to_string(runs.shard) + ':' + std::to_string(runs.version) + ':'
                    + std::to_string(runs.runs) + ',';
        }
        text.back() = '\n';
    }
    return text;
}

} // namespace lagoondeck
