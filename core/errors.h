#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// What is wrong with one field of an input.
enum class FieldProblemKind {
    Missing,
    UnknownField,
    WrongType,
    OutOfRange,
    BadFormat,
    Conflict, ///< It clashes with another field.
};

std::string_view toString(FieldProblemKind kind);

/// One wrong field. The path is like "limits.ratePerSecond".
struct FieldProblem
{
    std::string path;
    FieldProblemKind kind = FieldProblemKind::BadFormat;
    std::string detail;

    bool operator==(const FieldProblem &) const = default;
};

/// An input could be read but has wrong fields; nothing of it was taken.
struct InvalidInput
{
    std::vector<FieldProblem> problems;
};

/// An input could not be read at all.
struct MalformedInput
{
    std::string detail;
    /// Offset of the first byte that could not be read.
    std::size_t offset = 0;
};

/// A file could not be opened or read.
struct FileUnreadable
{
    std::string path;
};

/// A network call did not succeed.
struct CallFailed
{
    std::string address;
    std::string detail;
    /// False when the request certainly had no effect.
    bool mayHaveTakenEffect = true;
};

} // namespace lagoondeck
