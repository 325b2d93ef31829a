#pragma once

namespace lagoondeck {

/// Exit codes of lagoondeckctl; docs/OPERATIONS.md describes what to do for each.
enum class ExitCode {
    Done = 0,
    Internal = 1,
    InvalidInput = 2, ///< The command line, a file or an entry is wrong; nothing was applied.
    Conflict = 3,     ///< Another operator's change came first; nothing was applied.
    NotFound = 4,
    Unavailable = 5, ///< A service could not be reached; nothing was applied.
    Uncertain = 6,   ///< The change may have been accepted.
    NotInForce = 7,  ///< The change was accepted, but some instance does not report it yet.
};

} // namespace lagoondeck
