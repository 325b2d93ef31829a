#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/catalogue/catalogue.h"
#include "logic/events.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

struct Context;
class CatalogueUpdater;
enum class CatalogueUpdateResult;

/// Fetches catalogue changes from the store while this instance is one of the watchers. It reads
/// missing changes, watches for later ones, and periodically reads the head again, because a watch
/// may lose changes without an error.
class CatalogueWatcher
{
public:
    CatalogueWatcher(Catalogue &catalogue, CatalogueUpdater &updater)
        : catalogue(catalogue), updater(updater)
    { }

    /// Abandons an overdue read and starts the next one when it is due. When shouldWatch is false,
    /// stops reading and watching instead.
    void step(bool shouldWatch, Context &context);

    /// Returns whether the reply belongs to an operation of this watcher.
    bool onStoreReply(const StoreReplied &reply, Context &context);

    /// The number of operations started so far. Each watch counts as one.
    std::uint64_t operationsStarted() const { return this->operationCount; }

private:
    enum class ReadKind {
        Head,
        Changes,
        State,
    };

    void startRead(ReadKind kind, Context &context);
    void onRead(const StoreReplied &reply, Context &context);
    void onHead(const StoreReplied &reply, Context &context);
    void onChanges(const StoreReplied &reply, Context &context);
    void onState(const StoreReplied &reply, Context &context);
    void onWatch(const StoreReplied &reply, Context &context);
    void onFailure(Context &context);
    void scheduleNextRead(CatalogueUpdateResult result, std::uint64_t storeRevision,
                          Context &context);
    void startWatch(std::uint64_t fromRevision, Context &context);
    void endWatch(Context &context);
    void logRefused(const std::vector<std::string> &keys, Context &context) const;
    void setStoreAvailable(bool available, Context &context);

    Catalogue &catalogue;
    CatalogueUpdater &updater;
    std::optional<StoreOpId> readOperation;
    ReadKind readKind = ReadKind::Head;
    Instant readStarted {};
    std::optional<StoreOpId> watchOperation;
    Instant watchStarted {};
    Instant nextRead {};
    Duration backoff {};
    bool storeAvailable = true;
    /// Whether the store is older than this instance's catalogue or its history diverged.
    bool historyConflict = false;
    std::uint64_t operationCount = 0;
};

} // namespace lagoondeck
