#include "core/near_miss.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace lagoondeck {

namespace {

constexpr std::size_t mostEdits = 2;
/// A shorter beginning says too little.
constexpr std::size_t shortestStem = 4;
/// Names of ours are short; comparing longer ones is a waste.
constexpr std::size_t longestCompared = 64;

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

/// The number of characters to insert, delete or replace.
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

/// A lower rank is nearer; mostEdits + 1 stands for a shared beginning, more for no likeness.
std::size_t rankOf(const std::string &wrong, const std::string &name)
{
    const std::size_t distance = editDistance(wrong, name);
    if (distance <= mostEdits && distance < name.size()) {
        return distance;
    }
    const std::size_t common =
            static_cast<std::size_t>(std::ranges::mismatch(wrong, name).in1 - wrong.begin());
    const bool sharesStem =
            common >= shortestStem && 2 * common >= std::max(wrong.size(), name.size());
    return sharesStem ? mostEdits + 1 : mostEdits + 2;
}

} // namespace

std::string nearestName(std::string_view wrong, const std::vector<std::string> &known)
{
    if (wrong.size() > longestCompared) {
        return "";
    }
    std::string nearest;
    std::size_t best = mostEdits + 2;
    for (const std::string &name : known) {
        const std::size_t rank = rankOf(lowered(wrong), lowered(name));
        if (rank < best) {
            best = rank;
            nearest = name;
        }
    }
    return nearest;
}

} // namespace lagoondeck
