#include "core/nearest_name.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace lagoondeck {

namespace {

constexpr std::size_t maxEdits = 2;
/// Names with a shorter common prefix don't count as similar.
constexpr std::size_t minCommonPrefix = 4;
/// Longer names are not compared: known names are short, so none would be similar.
constexpr std::size_t maxComparedLength = 64;

std::string toLowerCase(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

/// Returns the number of characters to insert, delete or replace to turn one text into the other.
std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, replaced});
        }
    }
    return row.back();
}

/// Ranks the similarity of a known name; a lower rank is more similar. The rank maxEdits + 1 means
/// that the names only share a prefix, a higher one that they are not similar.
std::size_t rankOf(const std::string &unknown, const std::string &name)
{
    const std::size_t distance = editDistance(unknown, name);
    if (distance <= maxEdits && distance < name.size()) {
        return distance;
    }
    const std::size_t commonLength =
            static_cast<std::size_t>(std::ranges::mismatch(unknown, name).in1 - unknown.begin());
    const bool sharesPrefix = commonLength >= minCommonPrefix
            && 2 * commonLength >= std::max(unknown.size(), name.size());
    return sharesPrefix ? maxEdits + 1 : maxEdits + 2;
}

} // namespace

std::string nearestName(std::string_view unknown, const std::vector<std::string> &known)
{
    if (unknown.size() > maxComparedLength) {
        return "";
    }
    std::string nearest;
    std::size_t lowestRank = maxEdits + 2;
    for (const std::string &name : known) {
        const std::size_t rank = rankOf(toLowerCase(unknown), toLowerCase(name));
        if (rank < lowestRank) {
            lowestRank = rank;
            nearest = name;
        }
    }
    return nearest;
}

} // namespace lagoondeck
