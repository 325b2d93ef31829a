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

/// The command line is invalid.
struct UsageError
{
    std::string detail;
};

/// The change was accepted, but some instances did not report it before the timeout, or the
/// instances could not be queried.
struct NotInForce
{
    Revision revision;
    std::vector<LaggingInstance> lagging;
    /// Why the instances could not be queried; empty otherwise.
    std::string failure;
};

/// The instance is not in the instance list.
struct InstanceNotFound
{
    InstanceId id;
};

/// The instance still answered when the wait timed out.
struct StillRunning
{
    InstanceId id;
};

/// A configuration can be read, but something is wrong with it; the findings were written.
struct FaultyConfig
{
    std::size_t findings = 0;
};

/// An error as it is shown to the operator.
struct CommandError
{
    ExitCode code = ExitCode::Internal;
    /// A stable name for scripts, for example "conflict".
    std::string kind;
    std::string message;
    /// Tells the operator what to do next.
    std::string hint;
    std::vector<FieldProblem> problems;
    std::optional<CatalogueChange> other;
    std::vector<LaggingInstance> lagging;
};

std::string toText(const CommandError &error);
nlohmann::json toJson(const CommandError &error);

/// Runs a step and returns its exit code. Every error that the step returns is converted to a
/// CommandError and passed to onError.
ExitCode runCommand(const std::function<boost::leaf::result<void>()> &step,
                    const std::function<void(const CommandError &)> &onError);

} // namespace lagoondeck
