#include "logic/accounts/account_directory.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace lagoondeck;

namespace {

ClientAccount account(const std::string &name, std::vector<std::string> keys)
{
    ClientAccount account;
    account.name = name;
    account.keys = std::move(keys);
    return account;
}

/// Few different names and keys, so that some are listed more than once.
std::vector<ClientAccount> anyAccounts()
{
    std::vector<ClientAccount> accounts;
    for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
        accounts.push_back(
                account("a" + std::to_string(*rc::gen::inRange(0, 5)),
                        *rc::gen::container<std::vector<std::string>>(
                                rc::gen::element<std::string>("", "k1", "k2", "k3", "k4", "k5"))));
    }
    return accounts;
}

} // namespace

TEST_CASE("accounts are found by name and by each of their keys")
{
    const std::vector<ClientAccount> accounts {account("a", {"k1", "k2"}), account("b", {"k3"})};
    const AccountDirectory directory(accounts);
    CHECK_FALSE(directory.empty());
    CHECK(directory.findByKey("k1") == accounts.data());
    CHECK(directory.findByKey("k2") == accounts.data());
    CHECK(directory.findByKey("k3") == &accounts[1]);
    CHECK(directory.findByName("b") == &accounts[1]);
    for (const char *unknown : {"", "k", "K1", "k1 ", "k11", "a"}) {
        CHECK(directory.findByKey(unknown) == nullptr);
    }
    CHECK(directory.findByName("") == nullptr);
    CHECK(directory.findByName("A") == nullptr);
    CHECK(AccountDirectory({}).empty());
}

// Guards against a request that is served for the wrong account.
TEST_CASE("a key that two accounts list belongs to neither; the others stay valid")
{
    const std::vector<ClientAccount> accounts {
            account("a", {"k1", "shared"}), account("b", {"shared", "k2"}),
            account("c", {"shared"}), account("d", {"k3", "k3"})};
    const AccountDirectory directory(accounts);
    CHECK(directory.findByKey("shared") == nullptr);
    CHECK(directory.findByKey("k1") == accounts.data());
    CHECK(directory.findByKey("k2") == &accounts[1]);
    CHECK(directory.findByKey("k3") == &accounts[3]);
}

TEST_CASE("a key finds an account exactly if this is the only one that lists it")
{
    rc::prop("the directory agrees with a search through the list", [] {
        const std::vector<ClientAccount> accounts = anyAccounts();
        const AccountDirectory directory(accounts);
        RC_ASSERT(directory.empty() == accounts.empty());
        for (const std::string key : {"", "k1", "k2", "k3", "k4", "k5", "k6"}) {
            const auto lists = [&](const ClientAccount &each) {
                return std::ranges::find(each.keys, key) != each.keys.end();
            };
            const bool isOnlyOne = !key.empty() && std::ranges::count_if(accounts, lists) == 1;
            const ClientAccount *found = directory.findByKey(key);
            RC_ASSERT((found != nullptr) == isOnlyOne);
            RC_ASSERT((found == nullptr || lists(*found)));
        }
        for (const ClientAccount &each : accounts) {
            const ClientAccount *found = directory.findByName(each.name);
            RC_ASSERT(found != nullptr);
            RC_ASSERT(found->name == each.name);
        }
    });
}
