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

/// The platform's store as far as the catalogue needs it: ranges, watches, outages and losses.
class FakeCatalogueStore
{
public:
    using Reply = std::function<void(std::size_t node, Duration delay, StoreReplied reply)>;

    explicit FakeCatalogueStore(Reply reply) : reply(std::move(reply)) { }

    bool up = true;
    /// Every nth reply or piece of watch news is lost; 0 for none.
    std::uint64_t loseEvery = 0;
    std::uint64_t reads = 0;

    /// An operator's accepted change: head, change and entry in one transaction.
    CatalogueChange change(const CatalogueEntry &entry, const std::string &changeId)
    {
        CatalogueChange made;
        made.revision = Revision(this->headRevision + 1);
        made.changeId = changeId;
        made.author = "operator";
        made.name = entry.name;
        made.entry = entry;
        this->headRevision += 1;
        this->storeRevision += 1;
        char digits[32];
        std::snprintf(digits, sizeof(digits), "%012llu",
                      static_cast<unsigned long long>(made.revision.value));
        const std::string text = writeCatalogueChange(made);
        this->put("lagoondeck/catalogue/changes/" + std::string(digits), text);
        this->put("lagoondeck/catalogue/entries/" + entry.name.value, text);
        this->put("lagoondeck/catalogue/head",
                  R"({"revision":)" + std::to_string(made.revision.value) + R"(,"changeId":")"
                          + changeId + R"("})");
        return made;
    }

    void handle(std::size_t node, const Effect &effect)
    {
        if (const auto *end = std::get_if<StoreWatchEnd>(&effect)) {
            this->watches.erase({node, end->operation});
        } else if (const auto *operation = std::get_if<StoreOperation>(&effect)) {
            this->start(node, *operation);
        }
    }

    /// Ends all watches and refuses calls.
    void goDown()
    {
        this->up = false;
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
    /// Comes back with an older state; watches end.
    void restore(const Saved &saved)
    {
        this->goDown();
        this->up = true;
        this->values = saved.values;
        this->headRevision = saved.headRevision;
    }
    std::size_t watchCount() const { return this->watches.size(); }

private:
    using WatchKey = std::pair<std::size_t, StoreOpId>;
    static constexpr Duration latency = std::chrono::milliseconds(2);

    bool loses() { return this->loseEvery != 0 && ++this->replies % this->loseEvery == 0; }

    void put(const std::string &key, const std::string &value)
    {
        this->values[key] = {key, value, this->storeRevision, 0};
        for (const auto &[watchKey, watch] : this->watches) {
            if (key >= watch.key && key < watch.rangeEnd && !this->loses()) {
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
        if (!this->up) {
            this->reply(node, latency, {operation.operation, StoreStatus::Unavailable});
            return;
        }
        if (const auto *watch = std::get_if<StoreWatch>(&operation.request)) {
            this->watches[{node, operation.operation}] = *watch;
            this->replay(node, operation.operation, *watch);
            return;
        }
        if (this->loses()) {
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
        StoreReplied news {operation, StoreStatus::Ok, true};
        news.storeRevision = this->storeRevision;
        for (const auto &[key, value] : this->values) {
            if (key >= watch.key && key < watch.rangeEnd
                && value.modRevision >= watch.fromRevision) {
                news.values.push_back(value);
            }
        }
        this->reply(node, latency, std::move(news));
    }

    Reply reply;
    std::map<std::string, StoreKeyValue> values;
    std::map<WatchKey, StoreWatch> watches;
    std::uint64_t storeRevision = 1;
    std::uint64_t headRevision = 0;
    std::uint64_t replies = 0;
};

} // namespace lagoondeck::testing
