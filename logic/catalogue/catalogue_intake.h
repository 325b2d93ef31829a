#pragma once

#include "core/time.h"
#include "logic/catalogue/catalogue.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

struct Context;

/// What came of an offered part of the catalogue.
enum class IntakeResult {
    Taken,
    NothingNew,
    Gap,      ///< Changes between the one in force and the offered ones are missing.
    WentBack, ///< The offer belongs to an older or another history; it is not obeyed.
};

/// The one gate through which changes from the store and from peers come in force.
class CatalogueIntake
{
public:
    explicit CatalogueIntake(Catalogue &catalogue) : catalogue(catalogue) { }

    /// Whether this node has learned a catalogue, which may be empty.
    bool ready() const { return this->learned; }

    /// Takes changes, oldest first. The base id, where known, is that of the change before them.
    IntakeResult takeChanges(const std::vector<CatalogueChange> &changes,
                             const std::optional<std::string> &baseChangeId,
                             std::string_view source, Context &context);

    /// Takes a whole state.
    IntakeResult takeState(const CatalogueState &state, std::string_view source, Context &context);

    /// Compares a head that a source tells with the one in force.
    IntakeResult checkHead(Revision revision, const std::string &changeId, std::string_view source,
                           Context &context);

private:
    bool isKnown(const CatalogueChange &change) const;
    void logRevised(std::string_view source, Context &context) const;
    IntakeResult refuse(Revision revision, const std::string &changeId, std::string_view source,
                        Context &context);

    Catalogue &catalogue;
    bool learned = false;
    std::optional<Instant> lastAlarm;
};

} // namespace lagoondeck
