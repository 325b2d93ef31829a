#pragma once

#include "core/errors.h"
#include "core/time.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// Reads typed fields of one JSON object and collects the problems of all fields, so that a user
/// sees them all at once. The read functions leave the value unchanged when the field is absent or
/// wrong.
class FieldReader
{
public:
    /// The prefix is prepended to the path of each problem, for example "limits.".
    FieldReader(const nlohmann::json &object, std::vector<FieldProblem> &problems,
                std::string prefix = "");

    /// Returns whether the value is a JSON object. If it is not, the constructor reports a problem.
    bool isObject() const { return this->valueIsObject; }

    /// Reports a problem for each of these fields that is absent.
    void require(std::initializer_list<const char *> names);
    /// Reports a problem for each field that has not been looked up so far.
    void rejectUnknownFields();

    void read(const char *name, std::string &value);
    void read(const char *name, bool &value);
    void read(const char *name, double &value, double lowest, double highest);
    void read(const char *name, std::uint32_t &value, std::uint32_t lowest, std::uint32_t highest);
    void read(const char *name, std::uint64_t &value, std::uint64_t lowest, std::uint64_t highest);
    /// Reads an integer or fractional number of milliseconds.
    void readMilliseconds(const char *name, Duration &value, Duration lowest, Duration highest);

    /// Returns the field's value, or null when the field is absent. Marks the field as known.
    const nlohmann::json *find(const char *name);
    /// Reports a problem. Only the first problem of each field is kept.
    void addProblem(std::string_view name, FieldProblemKind kind, std::string detail);

private:
    template <typename Number>
    void readInteger(const char *name, Number &value, Number lowest, Number highest);

    const nlohmann::json &object;
    std::vector<FieldProblem> &problems;
    std::string prefix;
    std::vector<std::string> knownNames;
    bool valueIsObject = false;
};

} // namespace lagoondeck
