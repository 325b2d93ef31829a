#include "logic/quarantine/fingerprint.h"

#include <xxhash.h>

namespace lagoondeck {

Fingerprint fingerprintOf(const EntryName &entry, std::string_view body)
{
    const std::uint64_t seed = XXH3_64bits(entry.value.data(), entry.value.size());
    return Fingerprint(XXH3_64bits_withSeed(body.data(), body.size(), seed));
}

} // namespace lagoondeck
