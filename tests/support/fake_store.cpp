#include "tests/support/fake_store.h"

#include "core/catalogue_codec.h"
#include "logic/catalogue/catalogue_keys.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <variant>

namespace lagoondeck {

namespace {

bool inRange(const std::string &key, const std::string &first, const std::string &end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

} // namespace

StoreReplied FakeStore::execute(const StoreRequest &request)
{
    StoreReplied reply =
            std::visit([this](const auto &each) { return this->executeRequest(each); }, request);
    reply.status = StoreStatus::Ok;
    reply.storeRevision = this->currentRevision;
    return reply;
}

StoreReplied FakeStore::executeRequest(const StoreRange &range) const
{
    StoreReplied reply;
    reply.succeeded = true;
    this->read(range, reply.values);
    return reply;
}

StoreReplied FakeStore::executeRequest(const StoreTransaction &transaction)
{
    StoreReplied reply;
    reply.succeeded = std::ranges::all_of(
            transaction.compares, [this](const StoreCompare &each) { return this->matches(each); });
    if (!reply.succeeded) {
        for (const StoreRange &range : transaction.readsOnFailure) {
            this->read(range, reply.values);
        }
        return reply;
    }
    ++this->currentRevision;
    for (const StorePut &put : transaction.puts) {
        this->put(put.key, put.value);
    }
    for (const std::string &key : transaction.deletes) {
        this->values.erase(key);
        this->history.push_back({this->currentRevision, {key}, true});
    }
    return reply;
}

StoreReplied FakeStore::executeRequest(const StoreLeaseGrant &)
{
    StoreReplied reply;
    reply.succeeded = true;
    reply.lease = ++this->lastLease;
    return reply;
}

StoreReplied FakeStore::executeRequest(const StoreWatch &) const
{
    return {};
}

StoreReplied FakeStore::changesSince(const std::string &key, const std::string &rangeEnd,
                                     std::uint64_t revision) const
{
    StoreReplied reply;
    reply.status = StoreStatus::Ok;
    reply.storeRevision = this->currentRevision;
    for (const Change &change : this->history) {
        if (change.revision < revision || !inRange(change.value.key, key, rangeEnd)) {
            continue;
        }
        if (change.deleted) {
            reply.deletedKeys.push_back(change.value.key);
        } else {
            reply.values.push_back(change.value);
        }
    }
    return reply;
}

void FakeStore::read(const StoreRange &range, std::vector<StoreKeyValue> &found) const
{
    for (auto at = this->values.lower_bound(range.key);
         at != this->values.end() && inRange(at->first, range.key, range.rangeEnd); ++at) {
        found.push_back(at->second);
    }
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    StoreKeyValue &stored = this->values[key];
    stored.key = key;
    stored.value = value;
    stored.modRevision = this->currentRevision;
    stored.createRevision =
            stored.createRevision == 0 ? this->currentRevision : stored.createRevision;
    this->history.push_back({this->currentRevision, stored, false});
}

bool FakeStore::matches(const StoreCompare &compare) const
{
    const auto found = this->values.find(compare.key);
    return (found == this->values.end() ? 0 : found->second.modRevision) == compare.modRevision;
}

void FakeStore::putChange(const CatalogueChange &change)
{
    const nlohmann::json head {{"revision", change.revision.value}, {"changeId", change.changeId}};
    const std::string text = writeCatalogueChange(change);
    ++this->currentRevision;
    this->put(catalogueHeadRange().key, head.dump());
    this->put(catalogueChangesRange(change.revision).key, text);
    this->put("lagoondeck/catalogue/entries/" + change.name.value, text);
}

} // namespace lagoondeck
