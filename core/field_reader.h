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

/// Reads typed fields of one JSON object and collects every wrong one, so that a user sees all at
/// once. Each reader leaves the value as it is when the field is absent or wrong.
class FieldReader
{
public:
    /// The prefix is put before each path, for example "limits.".
    FieldReader(const nlohmann::json &object, std::vector<FieldProblem> &problems,
                std::string prefix = "");

    /// Says whether the value is an object at all; otherwise a problem is noted.
    bool isObject() const { return this->usable; }

    void require(std::initializer_list<const char *> names);
    /// Notes a problem for each field that no reader has asked for.
    void refuseUnknown();

    void read(const char *name, std::string &value);
    void read(const char *name, bool &value);
    void read(const char *name, double &value, double lowest, double highest);
    void read(const char *name, std::uint32_t &value, std::uint32_t lowest, std::uint32_t highest);
    void read(const char *name, std::uint64_t &value, std::uint64_t lowest, std::uint64_t highest);
    /// Reads whole or fractional milliseconds.
    void readMilliseconds(const char *name, Duration &value, Duration lowest, Duration highest);

    /// The field's value when it is there; marks it as known.
    const nlohmann::json *find(const char *name);
    /// Notes a problem; only the first one of a field is kept.
    void note(std::string_view name, FieldProblemKind kind, std::string detail);

private:
    template <typename Number>
    void readWhole(const char *name, Number &value, Number lowest, Number highest);

    const nlohmann::json &object;
    std::vector<FieldProblem> &problems;
    std::string prefix;
    std::vector<std::string> known;
    bool usable = false;
};

} // namespace lagoondeck
