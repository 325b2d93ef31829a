#pragma once

#include "logic/events.h"
#include "logic/store_operation.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

struct CatalogueChange;

/// An in-memory key-value store with typed operations.
class FakeStore
{
public:
    /// Executes an operation other than a watch and returns its reply.
    StoreReplied execute(const StoreRequest &request);
    /// Returns the changes in a range from a store revision on, as a watch reports them.
    StoreReplied changesSince(const std::string &key, const std::string &rangeEnd,
                              std::uint64_t revision) const;
    /// Writes a catalogue change as the operator's command does.
    void putChange(const CatalogueChange &change);
    std::uint64_t revision() const { return this->currentRevision; }

private:
    struct Change
    {
        std::uint64_t revision = 0;
        StoreKeyValue value;
        bool deleted = false;
    };

    StoreReplied executeRequest(const StoreRange &range) const;
    StoreReplied executeRequest(const StoreTransaction &transaction);
    StoreReplied executeRequest(const StoreLeaseGrant &);
    StoreReplied executeRequest(const StoreWatch &) const;
    void read(const StoreRange &range, std::vector<StoreKeyValue> &values) const;
    void put(const std::string &key, const std::string &value);
    bool matches(const StoreCompare &compare) const;

    std::map<std::string, StoreKeyValue> values;
    std::vector<Change> history;
    std::uint64_t currentRevision = 1;
    std::int64_t lastLease = 0;
};

} // namespace lagoondeck
