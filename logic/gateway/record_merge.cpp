#include "logic/gateway/record_merge.h"

#include <algorithm>
#include <functional>

namespace lagoondeck {

namespace {

constexpr int statusOk = 200;

} // namespace

std::string mergeRecords(const std::vector<std::string_view> &bodies, std::size_t topK)
{
    std::vector<std::string_view> records;
    for (const std::string_view body : bodies) {
        for (std::size_t at = 0; at + recordBytes <= body.size(); at += recordBytes) {
            records.push_back(body.substr(at, recordBytes));
        }
    }
    const std::size_t kept = std::min(topK, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
    // string_view compares as unsigned bytes.
    std::partial_sort(records.begin(), end, records.end(), std::greater {});
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (auto record = records.begin(); record != end; ++record) {
        merged.append(*record);
    }
    return merged;
}

CallerReply mergedReply(const Exchange &exchange)
{
    CallerReply reply;
    reply.status = statusOk;
    std::vector<std::string_view> bodies;
    for (const Part &part : exchange.parts) {
        if (part.phase == PartPhase::Answered) {
            reply.partSignatures.push_back(part.reply->signature);
            bodies.emplace_back(part.reply->body);
        }
    }
    reply.partsMissing = exchange.parts.size() - bodies.size();
    reply.mergedBody = mergeRecords(bodies, exchange.route->topK);
    return reply;
}

} // namespace lagoondeck
