#pragma once

#include "logic/events.h"
#include "logic/store_operation.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

struct CatalogueChange;

/// The key-value service in memory, with typed operations.
class FakeStore
{
public:
    /// Carries out an operation that is not a watch.
    StoreReplied carryOut(const StoreRequest &request);
    /// What changed in a range since a store revision, for a watch.
    StoreReplied changesSince(const std::string &key, const std::string &rangeEnd,
                              std::uint64_t revision) const;
    /// Writes a catalogue change as the operators' command does.
    void putChange(const CatalogueChange &change);
    std::uint64_t revision() const { return this->currentRevision; }

private:
    struct Change
    {
        std::uint64_t revision = 0;
        StoreKeyValue value;
        bool deleted = false;
    };

    StoreReplied carry(const StoreRange &range) const;
    StoreReplied carry(const StoreTransaction &transaction);
    StoreReplied carry(const StoreLeaseGrant &);
    StoreReplied carry(const StoreWatch &) const;
    void read(const StoreRange &range, std::vector<StoreKeyValue> &values) const;
    void put(const std::string &key, const std::string &value);
    bool holds(const StoreCompare &compare) const;

    std::map<std::string, StoreKeyValue> values;
    std::vector<Change> history;
    std::uint64_t currentRevision = 1;
    std::int64_t lastLease = 0;
};

} // namespace lagoondeck
