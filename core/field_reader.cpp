#include "core/field_reader.h"

#include "core/nearest_name.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace lagoondeck {

namespace {

/// Limits the memory that a hostile input can take up with problems. A user corrects the first ones
/// first anyway.
constexpr std::size_t maxProblems = 100;

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

FieldReader::FieldReader(const nlohmann::json &object, std::vector<FieldProblem> &problems,
                         std::string prefix)
    : object(object), problems(problems), prefix(std::move(prefix)),
      valueIsObject(object.is_object())
{
    if (!this->valueIsObject) {
        this->addProblem("", FieldProblemKind::WrongType, "an object is expected");
    }
}

void FieldReader::addProblem(std::string_view name, FieldProblemKind kind, std::string detail)
{
    std::string path = this->prefix + std::string(name);
    if (!path.empty() && path.back() == '.') {
        path.pop_back();
    }
    const bool isReported =
            std::ranges::find(this->problems, path, &FieldProblem::path) != this->problems.end();
    if (!isReported && this->problems.size() < maxProblems) {
        this->problems.push_back({std::move(path), kind, std::move(detail)});
    }
}

const nlohmann::json *FieldReader::find(const char *name)
{
    this->knownNames.emplace_back(name);
    if (!this->valueIsObject) {
        return nullptr;
    }
    const auto found = this->object.find(name);
    return found == this->object.end() ? nullptr : &*found;
}

void FieldReader::require(std::initializer_list<const char *> names)
{
    for (const char *name : names) {
        if (this->valueIsObject && !this->object.contains(name)) {
            this->addProblem(name, FieldProblemKind::Missing, "the field is required");
        }
    }
}

void FieldReader::rejectUnknownFields()
{
    if (!this->valueIsObject) {
        return;
    }
    for (const auto &[name, value] : this->object.items()) {
        if (std::ranges::find(this->knownNames, name) == this->knownNames.end()) {
            const std::string nearest = nearestName(name, this->knownNames);
            this->addProblem(name, FieldProblemKind::UnknownField,
                             nearest.empty() ? "no such field"
                                             : "no such field; did you mean " + nearest + "?");
        }
    }
}

void FieldReader::read(const char *name, std::string &value)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return;
    }
    if (!field->is_string()) {
        this->addProblem(name, FieldProblemKind::WrongType, "a string is expected");
        return;
    }
    value = field->get<std::string>();
}

void FieldReader::read(const char *name, bool &value)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return;
    }
    if (!field->is_boolean()) {
        this->addProblem(name, FieldProblemKind::WrongType, "true or false is expected");
        return;
    }
    value = field->get<bool>();
}

void FieldReader::read(const char *name, double &value, double lowest, double highest)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return;
    }
    if (!field->is_number()) {
        this->addProblem(name, FieldProblemKind::WrongType, "a number is expected");
        return;
    }
    const auto number = field->get<double>();
    if (!std::isfinite(number) || number < lowest || number > highest) {
        this->addProblem(name, FieldProblemKind::OutOfRange,
                         "expected " + formatNumber(lowest) + " to " + formatNumber(highest));
        return;
    }
    value = number;
}

template <typename Number>
void FieldReader::readInteger(const char *name, Number &value, Number lowest, Number highest)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return;
    }
    if (!field->is_number_integer()) {
        this->addProblem(name, FieldProblemKind::WrongType, "a whole number is expected");
        return;
    }
    const bool negative = !field->is_number_unsigned() && field->get<std::int64_t>() < 0;
    if (negative || field->get<std::uint64_t>() < lowest || field->get<std::uint64_t>() > highest) {
        this->addProblem(name, FieldProblemKind::OutOfRange,
                         "expected " + std::to_string(lowest) + " to " + std::to_string(highest));
        return;
    }
    value = field->get<Number>();
}

void FieldReader::read(const char *name, std::uint32_t &value, std::uint32_t lowest,
                       std::uint32_t highest)
{
    this->readInteger(name, value, lowest, highest);
}

void FieldReader::read(const char *name, std::uint64_t &value, std::uint64_t lowest,
                       std::uint64_t highest)
{
    this->readInteger(name, value, lowest, highest);
}

void FieldReader::readMilliseconds(const char *name, Duration &value, Duration lowest,
                                   Duration highest)
{
    if (const nlohmann::json *field = this->find(name); field != nullptr && !field->is_number()) {
        this->addProblem(name, FieldProblemKind::WrongType,
                         "a number of milliseconds without a unit is expected");
        return;
    }
    double milliseconds = toFractionalMilliseconds(value);
    this->read(name, milliseconds, toFractionalMilliseconds(lowest),
               toFractionalMilliseconds(highest));
    // The value is rounded because the binary representation of a decimal fraction can lie just
    // below the intended number of microseconds.
    value = std::chrono::round<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace lagoondeck
