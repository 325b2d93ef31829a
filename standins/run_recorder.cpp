#include "standins/run_recorder.h"

#include <algorithm>
#include <sstream>

namespace lagoondeck {

void RunRecorder::record(const std::string &service, const std::string &caller,
                         const std::string &requestId, bool idempotent, std::uint32_t shard,
                         std::uint64_t version)
{
    RequestRuns &request = this->requests[runKey(service, caller, requestId)];
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

std::string RunRecorder::dump() const
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

std::string runKey(const std::string &service, const std::string &caller,
                   const std::string &requestId)
{
    return service + '\t' + caller + '\t' + requestId;
}

RunsByRequest parseRunDump(const std::string &dump)
{
    RunsByRequest requests;
    std::istringstream lines(dump);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t runsAt = line.rfind('\t') + 1;
        const std::size_t kindAt = line.rfind('\t', runsAt - 2) + 1;
        RequestRuns &request = requests[line.substr(0, kindAt - 1)];
        request.idempotent = line.compare(kindAt, runsAt - kindAt, "repeatable\t") == 0;
        std::istringstream shards(line.substr(runsAt));
        ShardRuns runs;
        char separator = 0;
        while (shards >> runs.shard >> separator >> runs.version >> separator >> runs.runs) {
            request.shards.push_back(runs);
            shards >> separator;
        }
    }
    return requests;
}

} // namespace lagoondeck
