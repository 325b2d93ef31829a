#include "logic/accounts/account_directory.h"

namespace lagoondeck {

namespace {

const ClientAccount *findIn(const std::unordered_map<std::string_view, const ClientAccount *> &map,
                            std::string_view text)
{
    const auto found = map.find(text);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

AccountDirectory::AccountDirectory(const std::vector<ClientAccount> &accounts)
{
    for (const ClientAccount &account : accounts) {
        this->byName.emplace(account.name, &account);
        for (const std::string &key : account.keys) {
            const auto [entry, isNew] = this->byKey.emplace(key, &account);
            if (!isNew && entry->second != &account) {
                entry->second = nullptr;
            }
        }
    }
}

const ClientAccount *AccountDirectory::findByKey(std::string_view key) const
{
    return key.empty() ? nullptr : findIn(this->byKey, key);
}

const ClientAccount *AccountDirectory::findByName(std::string_view name) const
{
    return findIn(this->byName, name);
}

} // namespace lagoondeck
