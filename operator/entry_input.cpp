#include "operator/entry_input.h"

#include "core/catalogue_codec.h"
#include "core/errors.h"
#include "core/json_input.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <iterator>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// The entries read so far with all that is wrong.
struct Reading
{
    std::vector<CatalogueEntry> entries;
    std::vector<FieldProblem> problems;
};

leaf::result<nlohmann::json> readPath(const std::string &path)
{
    if (path != "-") {
        return readJsonFile(path);
    }
    const std::string text {std::istreambuf_iterator<char>(std::cin),
                            std::istreambuf_iterator<char>()};
    return parseJson(text);
}

void addEntry(const nlohmann::json &json, const std::string &where, Reading &reading)
{
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(entry, parseCatalogueEntry(json.dump()));
                const bool twice =
                        std::ranges::any_of(reading.entries, [&](const CatalogueEntry &other) {
                            return other.name == entry.name;
                        });
                if (twice) {
                    reading.problems.push_back({where + "name", FieldProblemKind::Conflict,
                                                "the entry is given twice"});
                }
                reading.entries.push_back(std::move(entry));
                return {};
            },
            [&](const InvalidInput &input) {
                for (const FieldProblem &problem : input.problems) {
                    reading.problems.push_back(
                            {where + problem.path, problem.kind, problem.detail});
                }
            },
            [&](const MalformedInput &input) {
                reading.problems.push_back({where, FieldProblemKind::BadFormat, input.detail});
            },
            [&] {
                reading.problems.push_back({where, FieldProblemKind::BadFormat, "unreadable"});
            });
}

} // namespace

leaf::result<std::vector<CatalogueEntry>> readEntryFiles(const std::vector<std::string> &paths)
{
    Reading reading;
    for (const std::string &path : paths) {
        BOOST_LEAF_AUTO(json, readPath(path));
        if (!json.is_array()) {
            addEntry(json, path + ": ", reading);
            continue;
        }
        for (std::size_t i = 0; i < json.size(); ++i) {
            addEntry(json[i], path + ": [" + std::to_string(i) + "].", reading);
        }
    }
    if (reading.entries.empty() && reading.problems.empty()) {
        reading.problems.push_back({"", FieldProblemKind::Missing, "no entry is given"});
    }
    if (!reading.problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(reading.problems)});
    }
    return std::move(reading.entries);
}

} // namespace lagoondeck
