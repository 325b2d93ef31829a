#pragma once

#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <string>

namespace lagoondeck::testing {

/// Mutates the bytes of a text: truncates, overwrites, deletes, duplicates or inserts some.
inline std::string mutateBytes(std::string text)
{
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 8);
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text.insert(at,
                        *rc::gen::element<std::string>("{", "]", "\"", "null", "1e999", "-0", "/*",
                                                       "//", "\\u0000", "\xff", ","));
        }
    }
    return text;
}

/// Returns a boundary or unusual value of any JSON type.
inline nlohmann::json unusualValue()
{
    static const std::vector<nlohmann::json> values {nullptr,
                                                     true,
                                                     -1,
                                                     0,
                                                     1e300,
                                                     -1e300,
                                                     18446744073709551615ULL,
                                                     0.5,
                                                     "",
                                                     "x",
                                                     "18446744073709551616",
                                                     "-5",
                                                     "AA==",
                                                     "?",
                                                     std::string(1000, 'a'),
                                                     nlohmann::json::array(),
                                                     nlohmann::json::object(),
                                                     nlohmann::json::array({1, "a", nullptr})};
    return *rc::gen::elementOf(values);
}

/// Replaces a random value in the tree by an unusual one, removes it or copies it to an unknown
/// field.
inline void mutateValue(nlohmann::json &json)
{
    const bool replaceThisValue =
            !json.is_structured() || json.empty() || *rc::gen::inRange(0, 6) == 0;
    if (replaceThisValue) {
        json = unusualValue();
        return;
    }
    auto child = json.begin();
    std::advance(child,
                 *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(json.size())));
    const int kind = *rc::gen::inRange(0, 10);
    if (kind == 0) {
        json.erase(child);
    } else if (kind == 1 && json.is_object()) {
        json[child.key() + "x"] = *child;
    } else {
        mutateValue(*child);
    }
}

/// Returns a mutated form of a valid text.
inline std::string mutated(const std::string &valid)
{
    if (*rc::gen::arbitrary<bool>()) {
        return mutateBytes(valid);
    }
    nlohmann::json json = nlohmann::json::parse(valid);
    const int edits = *rc::gen::inRange(1, 4);
    for (int i = 0; i < edits; ++i) {
        mutateValue(json);
    }
    return json.dump();
}

} // namespace lagoondeck::testing
