#include "logic/replication/state_digest.h"

#include <variant>
#include <xxhash.h>

namespace lagoondeck {

namespace {

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::size_t bucketOf(const std::string &key)
{
    return hashOf(key) % stateBuckets;
}

std::uint64_t contentHash(const StoreChange &item)
{
    std::string text = item.key;
    if (const auto *target = std::get_if<TargetRecord>(&item.content)) {
        text += "|" + std::to_string(target->startedAtMs) + "|" + target->group.value + "|"
                + target->address + (target->leaving ? "|leaving" : "");
    } else if (const auto *config = std::get_if<RoutingConfigPtr>(&item.content)) {
        text += "|" + std::to_string((*config)->version);
    }
    return hashOf(text);
}

std::vector<std::uint64_t> bucketDigests(const std::map<std::string, StoreChange> &state)
{
    std::vector<std::uint64_t> digests(stateBuckets, 0);
    for (const auto &[key, item] : state) {
        if (item.kind == StoreKeyKind::Config) {
            continue;
        }
        const bool hasHeartbeats = item.kind == StoreKeyKind::Target;
        const std::uint64_t valueHash =
                hasHeartbeats || item.encodedValue == nullptr ? 0 : hashOf(*item.encodedValue);
        // A sum does not depend on the order, and an odd factor keeps equal items apart.
        digests[bucketOf(key)] += contentHash(item) + valueHash * 3;
    }
    return digests;
}

} // namespace lagoondeck
