#pragma once

#include "core/store_change.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoondeck {

/// Any two majorities of the holders share one, and one of them may fail.
constexpr std::size_t accountHolderCount = 3;

/// Returns the members that hold the cap of the account, chosen by rendezvous hashing. They are in
/// different failure domains if there are enough domains. A small fleet has fewer holders.
std::vector<MemberRecord> accountHolders(const std::vector<MemberRecord> &members,
                                         const std::string &account);

} // namespace lagoondeck
