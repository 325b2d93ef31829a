#pragma once

#include "logic/events.h"
#include "logic/store_operation.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace lagoondeck {

/// An in-memory key-value service with leases. Operations take effect immediately; delays and
/// losses are simulated by the code that uses it.
class FakeStore
{
public:
    /// Breaks the compare-and-swap on purpose.
    bool ignoreCompares = false;
    /// Scales the lifetime of leases; a value below 1 expires them too early on purpose.
    double leaseScale = 1.0;
    std::uint64_t transactions = 0;
    std::uint64_t reads = 0;

    StoreReplied run(const StoreOperation &operation, Instant now)
    {
        this->expire(now);
        StoreReplied reply;
        reply.operation = operation.operation;
        reply.status = StoreStatus::Ok;
        if (const auto *range = std::get_if<StoreRange>(&operation.request)) {
            ++this->reads;
            this->read(range->key, reply);
        } else if (const auto *grant = std::get_if<StoreLeaseGrant>(&operation.request)) {
            reply.lease = ++this->lastLease;
            const auto life = static_cast<double>(grant->timeToLive.count()) * this->leaseScale;
            this->leases[reply.lease] = now + Duration(static_cast<Duration::rep>(life));
        } else if (const auto *change = std::get_if<StoreTransaction>(&operation.request)) {
            ++this->transactions;
            this->transact(*change, reply);
        }
        reply.storeRevision = this->revision;
        return reply;
    }

    bool has(const std::string &key) const { return this->values.contains(key); }

private:
    struct Value
    {
        StoreKeyValue kv;
        std::int64_t lease = 0;
    };

    void expire(Instant now)
    {
        std::erase_if(this->values, [&](const auto &item) {
            const auto lease = this->leases.find(item.second.lease);
            return lease != this->leases.end() && lease->second <= now;
        });
    }

    void read(const std::string &key, StoreReplied &reply) const
    {
        if (const auto found = this->values.find(key); found != this->values.end()) {
            reply.values.push_back(found->second.kv);
        }
    }

    bool holds(const StoreCompare &compare) const
    {
        const auto found = this->values.find(compare.key);
        const std::uint64_t actual = found == this->values.end() ? 0 : found->second.kv.modRevision;
        return actual == compare.modRevision;
    }

    void transact(const StoreTransaction &change, StoreReplied &reply)
    {
        reply.succeeded = this->ignoreCompares
                || std::ranges::all_of(change.compares,
                                       [&](const auto &compare) { return this->holds(compare); });
        if (!reply.succeeded) {
            for (const StoreRange &range : change.readsOnFailure) {
                this->read(range.key, reply);
            }
            return;
        }
        ++this->revision;
        for (const StorePut &put : change.puts) {
            this->values[put.key] = {{put.key, put.value, this->revision, this->revision},
                                     put.lease};
        }
        for (const std::string &key : change.deletes) {
            this->values.erase(key);
        }
    }

    std::map<std::string, Value> values;
    std::map<std::int64_t, Instant> leases;
    std::int64_t lastLease = 0;
    std::uint64_t revision = 1;
};

} // namespace lagoondeck
