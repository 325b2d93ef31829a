#include "logic/catalogue/catalogue_watcher.h"

#include "logic/catalogue/catalogue_keys.h"
#include "logic/catalogue/catalogue_updater.h"
#include "logic/context.h"
#include "logic/jitter.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr Duration initialBackoff = std::chrono::milliseconds(200);
constexpr Duration maxBackoff = std::chrono::seconds(1);
constexpr Duration rereadPeriod = std::chrono::seconds(5);
/// A watch that lasted this long counts as stable and resets the backoff.
constexpr Duration stableWatchDuration = std::chrono::seconds(5);
/// The time by which a watch may report a change later than a read does.
constexpr Duration maxWatchLag = std::chrono::seconds(1);
constexpr Duration readTimeout = std::chrono::milliseconds(500);
/// A read without a reply for this long is abandoned.
constexpr Duration readAbandonTimeout = std::chrono::seconds(3);
constexpr double jitterFraction = 0.3;
constexpr const char *source = "store";

} // namespace

void CatalogueWatcher::step(bool shouldWatch, Context &context)
{
    if (!shouldWatch) {
        this->endWatch(context);
        this->readOperation.reset();
        return;
    }
    if (this->readOperation && context.now - this->readStarted > readAbandonTimeout) {
        this->onFailure(context);
    }
    if (!this->readOperation && context.now >= this->nextRead) {
        this->startRead(this->updater.isReady() ? ReadKind::Head : ReadKind::State, context);
    }
}

bool CatalogueWatcher::onStoreReply(const StoreReplied &reply, Context &context)
{
    if (this->readOperation == reply.operation) {
        this->readOperation.reset();
        this->onRead(reply, context);
        return true;
    }
    if (this->watchOperation == reply.operation) {
        this->onWatch(reply, context);
        return true;
    }
    return false;
}

void CatalogueWatcher::startRead(ReadKind kind, Context &context)
{
    StoreRange range = catalogueHeadRange();
    if (kind == ReadKind::Changes) {
        // The current revision is read too, so that a diverged history is detected.
        range = catalogueChangesRange(
                Revision(std::max<std::uint64_t>(1, this->catalogue.revision().value)));
    } else if (kind == ReadKind::State) {
        range = catalogueStateRange();
    }
    const auto operation = context.ids.next<StoreOpId>();
    this->readOperation = operation;
    this->readKind = kind;
    this->readStarted = context.now;
    this->operationCount += 1;
    context.emit(StoreOperation {operation, std::move(range), readTimeout});
}

void CatalogueWatcher::onRead(const StoreReplied &reply, Context &context)
{
    if (reply.status != StoreStatus::Ok) {
        this->onFailure(context);
        return;
    }
    this->setStoreAvailable(true, context);
    switch (this->readKind) {
    case ReadKind::Head:
        this->onHead(reply, context);
        break;
    case ReadKind::Changes:
        this->onChanges(reply, context);
        break;
    case ReadKind::State:
        this->onState(reply, context);
        break;
    }
}

void CatalogueWatcher::onHead(const StoreReplied &reply, Context &context)
{
    const std::optional<CatalogueHead> head = readCatalogueHead(reply.values);
    if (!head) {
        this->logRefused({catalogueHeadRange().key}, context);
        this->onFailure(context);
        return;
    }
    const CatalogueUpdateResult result =
            this->updater.checkHead(head->revision, head->changeId, source, context);
    if (result == CatalogueUpdateResult::Gap) {
        if (this->watchOperation && context.now - this->watchStarted > maxWatchLag) {
            this->endWatch(context);
        }
        this->startRead(ReadKind::Changes, context);
        return;
    }
    this->scheduleNextRead(result, reply.storeRevision, context);
}

void CatalogueWatcher::onChanges(const StoreReplied &reply, Context &context)
{
    const StoredChanges stored = readStoredChanges(reply.values);
    this->logRefused(stored.refusedKeys, context);
    const bool isContiguous = !stored.changes.empty()
            && stored.changes.front().revision.value
                    <= std::max<std::uint64_t>(1, this->catalogue.revision().value);
    const CatalogueUpdateResult result = isContiguous
            ? this->updater.applyChanges(stored.changes, std::nullopt, source, context)
            : CatalogueUpdateResult::Gap;
    const bool isIncomplete = result == CatalogueUpdateResult::Gap || !stored.refusedKeys.empty();
    // A complete state does not contain its history, so it can't resolve a history conflict.
    if (isIncomplete && !this->historyConflict) {
        this->startRead(ReadKind::State, context);
        return;
    }
    this->scheduleNextRead(isIncomplete ? CatalogueUpdateResult::HistoryConflict : result,
                           reply.storeRevision, context);
}

void CatalogueWatcher::onState(const StoreReplied &reply, Context &context)
{
    const StoredCatalogue stored = readStoredCatalogue(reply.values);
    this->logRefused(stored.refusedKeys, context);
    if (stored.malformed) {
        this->logRefused({catalogueHeadRange().key}, context);
        this->onFailure(context);
        return;
    }
    const CatalogueUpdateResult result = this->updater.applyState(stored.state, source, context);
    this->scheduleNextRead(result, reply.storeRevision, context);
}

void CatalogueWatcher::onWatch(const StoreReplied &reply, Context &context)
{
    if (reply.status != StoreStatus::Ok) {
        this->watchOperation.reset();
        if (context.now - this->watchStarted > stableWatchDuration) {
            this->backoff = Duration(0);
        }
        this->onFailure(context);
        return;
    }
    const StoredChanges stored = readStoredChanges(reply.values);
    this->logRefused(stored.refusedKeys, context);
    const CatalogueUpdateResult result =
            this->updater.applyChanges(stored.changes, std::nullopt, source, context);
    if (result == CatalogueUpdateResult::HistoryConflict) {
        this->scheduleNextRead(result, reply.storeRevision, context);
    } else if (result == CatalogueUpdateResult::Gap || !stored.refusedKeys.empty()) {
        this->nextRead = context.now;
        this->step(true, context);
    }
}

/// Increases the backoff, with jitter so that the watchers don't retry at the same time.
void CatalogueWatcher::onFailure(Context &context)
{
    this->readOperation.reset();
    this->setStoreAvailable(false, context);
    this->backoff =
            this->backoff == Duration(0) ? initialBackoff : std::min(2 * this->backoff, maxBackoff);
    this->nextRead = context.now + jittered(this->backoff, jitterFraction, context.random);
}

/// Schedules the next periodic read and starts a watch unless one is running. A store with a
/// conflicting history is not watched.
void CatalogueWatcher::scheduleNextRead(CatalogueUpdateResult result, std::uint64_t storeRevision,
                                        Context &context)
{
    this->nextRead = context.now + jittered(rereadPeriod, jitterFraction, context.random);
    this->historyConflict = result == CatalogueUpdateResult::HistoryConflict;
    if (this->historyConflict) {
        this->endWatch(context);
        return;
    }
    if (!this->watchOperation) {
        this->startWatch(storeRevision + 1, context);
    } else if (context.now - this->watchStarted > stableWatchDuration) {
        this->backoff = Duration(0);
    }
}

void CatalogueWatcher::startWatch(std::uint64_t fromRevision, Context &context)
{
    const StoreRange all = catalogueChangesRange(Revision(1));
    const auto operation = context.ids.next<StoreOpId>();
    this->watchOperation = operation;
    this->watchStarted = context.now;
    this->operationCount += 1;
    context.emit(StoreOperation {operation, StoreWatch {all.key, all.rangeEnd, fromRevision},
                                 readTimeout});
}

void CatalogueWatcher::endWatch(Context &context)
{
    if (this->watchOperation) {
        context.emit(StoreWatchEnd {*this->watchOperation});
        this->watchOperation.reset();
    }
}

void CatalogueWatcher::logRefused(const std::vector<std::string> &keys, Context &context) const
{
    for (const std::string &key : keys) {
        context.log(LogEvent::CatalogueEntryRefused, {{"key", key}});
    }
}

void CatalogueWatcher::setStoreAvailable(bool available, Context &context)
{
    if (available != this->storeAvailable) {
        this->storeAvailable = available;
        context.log(available ? LogEvent::StoreAvailable : LogEvent::StoreUnavailable,
                    {{"user", "catalogue"}});
    }
}

} // namespace lagoondeck
