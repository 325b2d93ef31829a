#pragma once

#include "core/catalogue_change.h"
#include "core/errors.h"
#include "operator/exit_code.h"
#include "operator/fleet_client.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// A wrong command line.
struct UsageError
{
    std::string detail;
};

/// The change is accepted, and some instances did not report it within the bound, or nobody could
/// be asked.
struct NotInForce
{
    Revision revision;
    std::vector<Laggard> lacking;
    /// Why nobody could be asked; empty otherwise.
    std::string failure;
};

/// The instance is not in the instance list.
struct InstanceNotFound
{
    InstanceId id;
};

/// The instance still answered when the bound of the wait passed.
struct StillRunning
{
    InstanceId id;
};

/// An error as an operator reads it.
struct CommandError
{
    ExitCode code = ExitCode::Internal;
    /// A stable name for scripts, for example "conflict".
    std::string kind;
    std::string message;
    /// What to do next.
    std::string hint;
    std::vector<FieldProblem> problems;
    std::optional<CatalogueChange> other;
    std::vector<Laggard> lacking;
};

std::string toText(const CommandError &error);
nlohmann::json toJson(const CommandError &error);

/// Runs a step; every typed failure of it becomes a CommandError for onError.
ExitCode runCommand(const std::function<boost::leaf::result<void>()> &step,
                    const std::function<void(const CommandError &)> &onError);

} // namespace lagoondeck
