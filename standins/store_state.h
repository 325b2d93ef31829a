#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// A key with its value, as a key-value service of etcd's kind keeps it.
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

/// What a key-value service keeps: keys, revisions, leases and its history. It knows no time and
/// no network. Requests and replies are those of etcd v3's JSON gateway.
class StoreState
{
public:
    nlohmann::json range(const nlohmann::json &request) const;
    nlohmann::json transact(const nlohmann::json &request);
    std::int64_t grantLease() { return ++this->lastLease; }
    /// Deletes the lease's keys.
    void endLease(std::int64_t lease);
    /// Takes the store back to an older revision, as a restore from a backup does.
    void goBackTo(std::uint64_t revision);

    std::uint64_t revision() const { return this->currentRevision; }
    const std::vector<RecordedChange> &changes() const { return this->history; }
    nlohmann::json header() const;

private:
    bool holds(const nlohmann::json &compare) const;
    nlohmann::json carryOut(const nlohmann::json &operation, std::uint64_t revision);
    void put(const std::string &key, StoredValue value);
    std::size_t deleteRange(const std::string &key, const std::string &end, std::uint64_t revision);

    std::map<std::string, StoredValue> values;
    std::vector<RecordedChange> history;
    std::uint64_t currentRevision = 1;
    std::int64_t lastLease = 0;
};

/// Says whether a key lies in [first, end); an empty end names the one key.
bool isInRange(const std::string &key, const std::string &first, const std::string &end);

/// Reads a number that may be written as a string.
std::int64_t readNumber(const nlohmann::json &object, const char *name);

/// One key as etcd's JSON writes it.
nlohmann::json writeKeyValue(const std::string &key, const StoredValue &value);

} // namespace lagoondeck
