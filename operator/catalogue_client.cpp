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

/// Changes of other entries that may come between before the command gives up.
constexpr std::uint32_t maximumAttempts = 16;
constexpr Duration pauseBeforeResend = std::chrono::milliseconds(100);

bool touches(const CatalogueEdits &edits, const EntryName &name)
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

leaf::result<void> refuseMissing(const CatalogueEdits &edits, const CatalogueInForce &inForce)
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

/// What one sending of a transaction brought.
struct Attempt
{
    std::optional<StoreReply> reply;
    /// Tells why there is no reply.
    StoreFailure failure;
};

Attempt tryOnce(StoreSession &store, const StoreTransaction &transaction, Duration timeout)
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

/// Whether a transaction's reply shows that its first change holds its number.
leaf::result<bool> tookEffect(const StoreReply &reply, const CatalogueChange &first)
{
    if (reply.succeeded || reply.values.empty()) {
        return reply.succeeded;
    }
    BOOST_LEAF_AUTO(found, parseCatalogueChange(reply.values.front().value));
    return found.changeId == first.changeId;
}

} // namespace

CatalogueClient::CatalogueClient(StoreSession &store, Duration timeout, Duration patience)
    : store(store), timeout(timeout), patience(patience)
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
    for (std::uint32_t attempt = 0; attempt < maximumAttempts; ++attempt) {
        BOOST_LEAF_AUTO(inForce, this->readInForce());
        expected = expected.value_or(inForce.head.revision);
        BOOST_LEAF_CHECK(this->refuseChangedSince(*expected, edits, inForce));
        BOOST_LEAF_CHECK(refuseMissing(edits, inForce));
        std::vector<CatalogueChange> changes = makeChanges(edits, inForce.head.revision);
        BOOST_LEAF_AUTO(applied, this->commit(inForce, changes));
        if (applied) {
            return changes;
        }
    }
    return leaf::new_error(CatalogueBusy {maximumAttempts});
}

leaf::result<void> CatalogueClient::refuseChangedSince(Revision revision,
                                                       const CatalogueEdits &edits,
                                                       const CatalogueInForce &inForce)
{
    if (revision > inForce.head.revision) {
        return leaf::new_error(RevisionAhead {revision, inForce.head.revision});
    }
    BOOST_LEAF_AUTO(later, this->readChanges(Revision {revision.value + 1}, inForce.head.revision));
    const auto last =
            std::find_if(later.rbegin(), later.rend(), [&](const CatalogueChange &change) {
                return touches(edits, change.name);
            });
    if (last != later.rend()) {
        return leaf::new_error(CatalogueConflict {revision, *last});
    }
    return {};
}

/// Sends the transaction until the store tells what became of it. The compare holds once at most,
/// so that sending it again can't apply it twice; when it no longer holds, the change is read back
/// by its number and known by its id. False when another change took the number.
leaf::result<bool> CatalogueClient::commit(const CatalogueInForce &inForce,
                                           const std::vector<CatalogueChange> &changes)
{
    const StoreTransaction transaction = makeTransaction(inForce, changes);
    const CatalogueChange &first = changes.front();
    const auto giveUpAt = std::chrono::steady_clock::now() + this->patience;
    bool uncertain = false;
    while (true) {
        const Attempt attempt = tryOnce(this->store, transaction, this->timeout);
        if (attempt.reply) {
            return tookEffect(*attempt.reply, first);
        }
        uncertain = uncertain || attempt.failure.status != StoreStatus::Unavailable;
        if (std::chrono::steady_clock::now() + pauseBeforeResend >= giveUpAt) {
            break;
        }
        std::this_thread::sleep_for(pauseBeforeResend);
    }
    if (uncertain) {
        return leaf::new_error(ChangeUncertain {first.revision, first.changeId});
    }
    return leaf::new_error(StoreFailure {StoreStatus::Unavailable, "", "the store stays away"});
}

} // namespace lagoondeck
