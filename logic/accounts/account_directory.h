#pragma once

#include "core/client_account.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Finds the client accounts of one version of the configuration by key and by name.
///
/// A key that two accounts list belongs to neither, because it does not tell who is calling.
class AccountDirectory
{
public:
    /// The accounts must outlive the directory.
    explicit AccountDirectory(const std::vector<ClientAccount> &accounts);

    /// Returns true if callers need no keys.
    bool empty() const { return this->byName.empty(); }
    /// Returns the account that the key belongs to, or null if there is none.
    const ClientAccount *findByKey(std::string_view key) const;
    /// Returns null if there is no account with this name.
    const ClientAccount *findByName(std::string_view name) const;

private:
    std::unordered_map<std::string_view, const ClientAccount *> byKey;
    std::unordered_map<std::string_view, const ClientAccount *> byName;
};

} // namespace lagoondeck
