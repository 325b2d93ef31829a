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
    Conflict, ///< The value contradicts another field.
};

std::string_view toString(FieldProblemKind kind);

/// One wrong field. The path has the form "limits.ratePerSecond".
struct FieldProblem
{
    std::string path;
    FieldProblemKind kind = FieldProblemKind::BadFormat;
    std::string detail;

    bool operator==(const FieldProblem &) const = default;
};

/// The error for an input that could be parsed but has wrong fields. No part of it was applied.
struct InvalidInput
{
    std::vector<FieldProblem> problems;
};

/// The error for an input that could not be parsed.
struct MalformedInput
{
    std::string detail;
    /// The offset of the first byte that could not be parsed.
    std::size_t offset = 0;
};

/// The error for a file that could not be opened or read.
struct FileUnreadable
{
    std::string path;
};

/// The error for a network call that failed.
struct CallFailed
{
    std::string address;
    std::string detail;
    /// Whether the request may have had an effect although the call failed.
    bool mayHaveTakenEffect = true;
};

} // namespace lagoondeck
