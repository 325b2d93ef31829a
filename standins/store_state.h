#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// A value with its revisions and lease, as an etcd-like key-value service stores it.
struct StoredValue
{
    std::string value;
    std::uint64_t createRevision = 0;
    std::uint64_t modRevision = 0;
    std::int64_t lease = 0;
};

/// One write in the store's history.
struct RecordedChange
{
    std::uint64_t revision = 0;
    bool deleted = false;
    std::string key;
    StoredValue value;
};

/// The state of a key-value service: keys, revisions, leases and history. It uses neither a clock
/// nor the network. Requests and replies have the format of etcd v3's JSON gateway.
class StoreState
{
public:
    nlohmann::json range(const nlohmann::json &request) const;
    nlohmann::json transact(const nlohmann::json &request);
    std::int64_t grantLease() { return ++this->lastLease; }
    /// Deletes the keys attached to the lease.
    void endLease(std::int64_t lease);
    /// Resets the store to an older revision, like a restore from a backup.
    void restoreRevision(std::uint64_t revision);

    std::uint64_t revision() const { return this->currentRevision; }
    const std::vector<RecordedChange> &changes() const { return this->history; }
    nlohmann::json header() const;

private:
    bool matches(const nlohmann::json &compare) const;
    nlohmann::json execute(const nlohmann::json &operation, std::uint64_t revision);
    void put(const std::string &key, StoredValue value);
    std::size_t deleteRange(const std::string &key, const std::string &end, std::uint64_t revision);

    std::map<std::string, StoredValue> values;
    std::vector<RecordedChange> history;
    std::uint64_t currentRevision = 1;
    std::int64_t lastLease = 0;
};

/// Returns true if a key is in [first, end). With an empty end the range is the single key `first`.
bool isInRange(const std::string &key, const std::string &first, const std::string &end);

/// Reads a number that may be encoded as a string.
std::int64_t readNumber(const nlohmann::json &object, const char *name);

/// Returns a key with its value in etcd's JSON format.
nlohmann::json writeKeyValue(const std::string &key, const StoredValue &value);

} // namespace lagoondeck
