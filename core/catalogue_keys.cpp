#include "core/catalogue_keys.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr const char *headKey = "lagoondeck/catalogue/head";
constexpr const char *changePrefix = "lagoondeck/catalogue/changes/";
/// The character after '/' is '0', so this key follows all keys with the prefix.
constexpr const char *changesEnd = "lagoondeck/catalogue/changes0";
constexpr const char *entryPrefix = "lagoondeck/catalogue/entries/";
constexpr std::size_t revisionDigits = 12;

/// Returns the key that immediately follows a key.
std::string keyAfter(std::string key)
{
    key.push_back('\0');
    return key;
}

} // namespace

std::string catalogueHeadKey()
{
    return headKey;
}

std::string catalogueChangeKey(Revision revision)
{
    const std::string digits = std::to_string(revision.value);
    const std::size_t zeros = revisionDigits - std::min(revisionDigits, digits.size());
    return changePrefix + std::string(zeros, '0') + digits;
}

std::string catalogueEntryKey(const EntryName &name)
{
    return entryPrefix + name.value;
}

KeyRange catalogueInForceRange()
{
    return {entryPrefix, keyAfter(headKey)};
}

KeyRange catalogueChangeRange(Revision first, Revision last)
{
    return {catalogueChangeKey(first), keyAfter(catalogueChangeKey(last))};
}

std::string catalogueChangesEnd()
{
    return changesEnd;
}

bool isCatalogueEntryKey(std::string_view key)
{
    return key.starts_with(entryPrefix);
}

bool isCatalogueChangeKey(std::string_view key)
{
    return key.starts_with(changePrefix);
}

} // namespace lagoondeck
