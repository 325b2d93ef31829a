#pragma once

#include "core/catalogue_codec.h"
#include "logic/effects.h"
#include "logic/events.h"

#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lagoondeck::testing {

/// An in-memory store with the operations that the catalogue needs: ranges and watches. It
/// simulates outages and lost replies.
class FakeCatalogueStore
{
public:
    using Reply = std::function<void(std::size_t node, Duration delay, StoreReplied reply)>;

    explicit FakeCatalogueStore(Reply reply) : reply(std::move(reply)) { }

    bool isAvailable = true;
    /// Every nth range reply or watch update is lost; 0 loses none.
    std::uint64_t loseEvery = 0;
    std::uint64_t reads = 0;

    /// Writes a catalogue change as an operator's accepted command does: head, change and entry in
    /// one transaction.
    CatalogueChange change(const CatalogueEntry &entry, const std::string &changeId)
    {
        CatalogueChange catalogueChange;
        catalogueChange.revision = Revision(this->headRevision + 1);
        catalogueChange.changeId = changeId;
        catalogueChange.author = "operator";
        catalogueChange.name = entry.name;
        catalogueChange.entry = entry;
        this->headRevision += 1;
        this->storeRevision += 1;
        char digits[32];
        std::snprintf(digits, sizeof(digits), "%012llu",
                      static_cast<unsigned long long>(catalogueChange.revision.value));
        const std::string text = writeCatalogueChange(catalogueChange);
        this->put("lagoondeck/catalogue/changes/" + std::string(digits), text);
        this->put("lagoondeck/catalogue/entries/" + entry.name.value, text);
        this->put("lagoondeck/catalogue/head",
                  R"({"revision":)" + std::to_string(catalogueChange.revision.value)
                          + R"(,"changeId":")" + changeId + R"("})");
        return catalogueChange;
    }

    void handle(std::size_t node, const Effect &effect)
    {
        if (const auto *end = std::get_if<StoreWatchEnd>(&effect)) {
            this->watches.erase({node, end->operation});
        } else if (const auto *operation = std::get_if<StoreOperation>(&effect)) {
            this->start(node, *operation);
        }
    }

    /// Starts an outage: ends all watches and refuses calls.
    void goDown()
    {
        this->isAvailable = false;
        for (const auto &[key, watch] : std::exchange(this->watches, {})) {
            this->reply(key.first, latency, {key.second, StoreStatus::ReplyLost});
        }
    }

    struct Saved
    {
        std::map<std::string, StoreKeyValue> values;
        std::uint64_t headRevision = 0;
    };
    Saved save() const { return {this->values, this->headRevision}; }
    /// Ends all watches and continues with an older state, like a store restored from a backup.
    void restore(const Saved &saved)
    {
        this->goDown();
        this->isAvailable = true;
        this->values = saved.values;
        this->headRevision = saved.headRevision;
    }
    std::size_t watchCount() const { return this->watches.size(); }

private:
    using WatchKey = std::pair<std::size_t, StoreOpId>;
    static constexpr Duration latency = std::chrono::milliseconds(2);

    bool shouldLose() { return this->loseEvery != 0 && ++this->replies % this->loseEvery == 0; }

    void put(const std::string &key, const std::string &value)
    {
        this->values[key] = {key, value, this->storeRevision, 0};
        for (const auto &[watchKey, watch] : this->watches) {
            if (key >= watch.key && key < watch.rangeEnd && !this->shouldLose()) {
                this->reply(watchKey.first, latency,
                            {watchKey.second,
                             StoreStatus::Ok,
                             true,
                             {this->values[key]},
                             {},
                             0,
                             this->storeRevision});
            }
        }
    }

    void start(std::size_t node, const StoreOperation &operation)
    {
        this->reads += 1;
        if (!this->isAvailable) {
            this->reply(node, latency, {operation.operation, StoreStatus::Unavailable});
            return;
        }
        if (const auto *watch = std::get_if<StoreWatch>(&operation.request)) {
            this->watches[{node, operation.operation}] = *watch;
            this->replay(node, operation.operation, *watch);
            return;
        }
        if (this->shouldLose()) {
            this->reply(node, operation.timeout, {operation.operation, StoreStatus::ReplyLost});
            return;
        }
        StoreReplied replied {operation.operation, StoreStatus::Ok, true};
        replied.storeRevision = this->storeRevision;
        const auto &range = std::get<StoreRange>(operation.request);
        for (const auto &[key, value] : this->values) {
            if (range.rangeEnd.empty() ? key == range.key
                                       : key >= range.key && key < range.rangeEnd) {
                replied.values.push_back(value);
            }
        }
        this->reply(node, latency, std::move(replied));
    }

    void replay(std::size_t node, StoreOpId operation, const StoreWatch &watch)
    {
        StoreReplied update {operation, StoreStatus::Ok, true};
        update.storeRevision = this->storeRevision;
        for (const auto &[key, value] : this->values) {
            if (key >= watch.key && key < watch.rangeEnd
                && value.modRevision >= watch.fromRevision) {
                update.values.push_back(value);
            }
        }
        this->reply(node, latency, std::move(update));
    }

    Reply reply;
    std::map<std::string, StoreKeyValue> values;
    std::map<WatchKey, StoreWatch> watches;
    std::uint64_t storeRevision = 1;
    std::uint64_t headRevision = 0;
    std::uint64_t replies = 0;
};

} // namespace lagoondeck::testing
