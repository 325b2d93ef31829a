#include "logic/catalogue/catalogue.h"

#include "logic/invariant.h"

#include <iterator>

namespace lagoondeck {

const CatalogueEntry *Catalogue::find(const EntryName &name) const
{
    const auto found = this->inForce.find(name);
    return found == this->inForce.end() ? nullptr : &found->second;
}

void Catalogue::apply(const CatalogueChange &change)
{
    ensure(change.revision.value == this->current.value + 1, Invariant::RevisionOnlyGrows, [&] {
        return "change revision " + std::to_string(change.revision.value) + " applied to revision "
                + std::to_string(this->current.value);
    });
    if (change.entry) {
        this->inForce.insert_or_assign(change.name, *change.entry);
    } else {
        this->inForce.erase(change.name);
    }
    this->current = change.revision;
    this->headId = change.changeId;
    this->log.push_back(change);
    this->trimLog();
}

void Catalogue::adopt(const CatalogueState &state)
{
    ensure(state.revision > this->current
                   || (state.revision == this->current && state.headChangeId == this->headId),
           Invariant::RevisionOnlyGrows, [&] {
               return "state revision " + std::to_string(state.revision.value)
                       + " replaces revision " + std::to_string(this->current.value);
           });
    this->inForce.clear();
    for (const CatalogueEntry &entry : state.entries) {
        this->inForce.emplace(entry.name, entry);
    }
    this->current = state.revision;
    this->headId = state.headChangeId;
    this->logBaseId = state.headChangeId;
    this->log.clear();
}

std::optional<std::vector<CatalogueChange>> Catalogue::changesAfter(Revision revision) const
{
    if (revision >= this->current) {
        return std::vector<CatalogueChange> {};
    }
    const std::uint64_t missing = this->current.value - revision.value;
    if (missing > this->log.size()) {
        return std::nullopt;
    }
    const auto first = std::prev(this->log.end(), static_cast<std::ptrdiff_t>(missing));
    return std::vector<CatalogueChange>(first, this->log.end());
}

std::optional<std::string> Catalogue::changeIdAt(Revision revision) const
{
    if (revision > this->current) {
        return std::nullopt;
    }
    const std::uint64_t distance = this->current.value - revision.value;
    if (distance > this->log.size()) {
        return std::nullopt;
    }
    if (distance == this->log.size()) {
        return this->log.empty() ? this->headId : this->logBaseId;
    }
    return this->log[this->log.size() - 1 - distance].changeId;
}

void Catalogue::trimLog()
{
    while (this->log.size() > maxLogSize) {
        this->logBaseId = this->log.front().changeId;
        this->log.pop_front();
    }
}

} // namespace lagoondeck
