#include "operator/catalogue_client.h"

#include "core/catalogue_codec.h"
#include "core/catalogue_keys.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <thread>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Attempts that may lose a race against concurrent changes before the command fails.
constexpr std::uint32_t maxAttempts = 16;
constexpr Duration resendDelay = std::chrono::milliseconds(100);

bool containsEntry(const CatalogueEdits &edits, const EntryName &name)
{
    return std::ranges::any_of(edits.edits,
                               [&](const CatalogueEdit &edit) { return edit.name == name; });
}

std::vector<CatalogueChange> makeChanges(const CatalogueEdits &edits, Revision head)
{
    std::vector<CatalogueChange> changes;
    for (const CatalogueEdit &edit : edits.edits) {
        const Revision revision {head.value + changes.size() + 1};
        changes.push_back(
                {revision, edits.changeId, edits.author, edits.acceptedAt, edit.name, edit.entry});
    }
    return changes;
}

StoreTransaction makeTransaction(const CatalogueInForce &inForce,
                                 const std::vector<CatalogueChange> &changes)
{
    StoreTransaction transaction;
    transaction.compares.push_back({catalogueHeadKey(), inForce.headModRevision});
    for (const CatalogueChange &change : changes) {
        const std::string text = writeCatalogueChange(change);
        transaction.puts.push_back({catalogueChangeKey(change.revision), text});
        if (change.entry) {
            transaction.puts.push_back({catalogueEntryKey(change.name), text});
        } else {
            transaction.deletes.push_back(catalogueEntryKey(change.name));
        }
    }
    const CatalogueHead head {changes.back().revision, changes.back().changeId};
    transaction.puts.push_back({catalogueHeadKey(), writeCatalogueHead(head)});
    transaction.readsOnFailure.push_back({catalogueChangeKey(changes.front().revision), ""});
    return transaction;
}

leaf::result<void> checkEntriesExist(const CatalogueEdits &edits, const CatalogueInForce &inForce)
{
    for (const CatalogueEdit &edit : edits.edits) {
        const bool exists = std::ranges::any_of(
                inForce.entries, [&](const CatalogueChange &c) { return c.name == edit.name; });
        if (!edit.entry && !exists) {
            return leaf::new_error(EntryNotFound {edit.name});
        }
    }
    return {};
}

/// The outcome of sending a transaction once.
struct Attempt
{
    std::optional<StoreReply> reply;
    /// The reason why there is no reply.
    StoreFailure failure;
};

Attempt sendOnce(StoreSession &store, const StoreTransaction &transaction, Duration timeout)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<Attempt> {
                BOOST_LEAF_AUTO(reply, store.call(transaction, timeout));
                return Attempt {std::move(reply), {}};
            },
            [](const StoreFailure &failure) {
                return Attempt {std::nullopt, failure};
            },
            [] {
                return Attempt {std::nullopt, {StoreStatus::ReplyLost, "", ""}};
            });
}

/// Returns whether a transaction's reply shows that its first change holds its revision.
leaf::result<bool> hasTakenEffect(const StoreReply &reply, const CatalogueChange &first)
{
    if (reply.succeeded || reply.values.empty()) {
        return reply.succeeded;
    }
    BOOST_LEAF_AUTO(found, parseCatalogueChange(reply.values.front().value));
    return found.changeId == first.changeId;
}

} // namespace

CatalogueClient::CatalogueClient(StoreSession &store, Duration timeout, Duration retryTimeout)
    : store(store), timeout(timeout), retryTimeout(retryTimeout)
{ }

leaf::result<CatalogueInForce> CatalogueClient::readInForce()
{
    const KeyRange range = catalogueInForceRange();
    BOOST_LEAF_AUTO(reply, this->store.call(StoreRange {range.first, range.end}, this->timeout));
    CatalogueInForce inForce;
    for (const StoreKeyValue &value : reply.values) {
        if (value.key == catalogueHeadKey()) {
            BOOST_LEAF_ASSIGN(inForce.head, parseCatalogueHead(value.value));
            inForce.headModRevision = value.modRevision;
        } else {
            BOOST_LEAF_AUTO(change, parseCatalogueChange(value.value));
            inForce.entries.push_back(std::move(change));
        }
    }
    return inForce;
}

leaf::result<std::vector<CatalogueChange>> CatalogueClient::readChanges(Revision first,
                                                                        Revision last)
{
    std::vector<CatalogueChange> changes;
    if (first > last) {
        return changes;
    }
    const KeyRange range = catalogueChangeRange(first, last);
    BOOST_LEAF_AUTO(reply, this->store.call(StoreRange {range.first, range.end}, this->timeout));
    for (const StoreKeyValue &value : reply.values) {
        BOOST_LEAF_AUTO(change, parseCatalogueChange(value.value));
        changes.push_back(std::move(change));
    }
    return changes;
}

leaf::result<std::vector<CatalogueChange>> CatalogueClient::apply(const CatalogueEdits &edits)
{
    std::optional<Revision> expected = edits.expectRevision;
    for (std::uint32_t attempt = 0; attempt < maxAttempts; ++attempt) {
        BOOST_LEAF_AUTO(inForce, this->readInForce());
        expected = expected.value_or(inForce.head.revision);
        BOOST_LEAF_CHECK(this->checkUnchangedSince(*expected, edits, inForce));
        BOOST_LEAF_CHECK(checkEntriesExist(edits, inForce));
        std::vector<CatalogueChange> changes = makeChanges(edits, inForce.head.revision);
        BOOST_LEAF_AUTO(applied, this->commit(inForce, changes));
        if (applied) {
            return changes;
        }
    }
    return leaf::new_error(CatalogueBusy {maxAttempts});
}

leaf::result<void> CatalogueClient::checkUnchangedSince(Revision revision,
                                                        const CatalogueEdits &edits,
                                                        const CatalogueInForce &inForce)
{
    if (revision > inForce.head.revision) {
        return leaf::new_error(RevisionAhead {revision, inForce.head.revision});
    }
    BOOST_LEAF_AUTO(later, this->readChanges(Revision {revision.value + 1}, inForce.head.revision));
    const auto last =
            std::find_if(later.rbegin(), later.rend(), [&](const CatalogueChange &change) {
                return containsEntry(edits, change.name);
            });
    if (last != later.rend()) {
        return leaf::new_error(CatalogueConflict {revision, *last});
    }
    return {};
}

/// Sends the transaction until the store reports its outcome. Its compare succeeds at most once, so
/// sending it again can't apply it twice. When the compare fails, the change is read back by its
/// revision and identified by its change id. Returns false when another change has this revision.
leaf::result<bool> CatalogueClient::commit(const CatalogueInForce &inForce,
                                           const std::vector<CatalogueChange> &changes)
{
    const StoreTransaction transaction = makeTransaction(inForce, changes);
    const CatalogueChange &first = changes.front();
    const auto retryDeadline = std::chrono::steady_clock::now() + this->retryTimeout;
    bool uncertain = false;
    while (true) {
        const Attempt attempt = sendOnce(this->store, transaction, this->timeout);
        if (attempt.reply) {
            return hasTakenEffect(*attempt.reply, first);
        }
        uncertain = uncertain || attempt.failure.status != StoreStatus::Unavailable;
        if (std::chrono::steady_clock::now() + resendDelay >= retryDeadline) {
            break;
        }
        std::this_thread::sleep_for(resendDelay);
    }
    if (uncertain) {
        return leaf::new_error(ChangeUncertain {first.revision, first.changeId});
    }
    return leaf::new_error(StoreFailure {StoreStatus::Unavailable, "",
                                         "the store is still unavailable after all retries"});
}

} // namespace lagoondeck
