#include "logic/accounts/account_gate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace lagoondeck;

namespace {

const std::string key = "k-1";

std::vector<ClientAccount> accounts()
{
    ClientAccount acme;
    acme.name = "acme";
    acme.keys = {key, "k-2"};
    ClientAccount other;
    other.name = "other";
    other.keys = {"k-3"};
    return {acme, other};
}

Route route(bool isPublic)
{
    Route route;
    route.isPublic = isPublic;
    return route;
}

std::shared_ptr<const ForwardedRequest> request(const std::string &accountKey,
                                                const std::string &account = "")
{
    auto request = std::make_shared<ForwardedRequest>();
    request->fields = {{"X", "1"}};
    request->body = "body";
    request->requestId = "r";
    request->identityFields = {{"identity", accountKey}, {"name", "forged"}};
    request->accountKey = accountKey;
    request->account = account;
    return request;
}

/// Checks that nothing in the request tells the key or what the caller says of itself.
void checkStripped(const IdentifiedRequest &identified)
{
    CHECK(identified.request->identityFields.empty());
    CHECK(identified.request->accountKey.empty());
    CHECK(identified.request->fields == HeaderFields {{"X", "1"}});
    CHECK(identified.request->body == "body");
    CHECK(identified.request->requestId == "r");
}

} // namespace

TEST_CASE("a request with a known key belongs to its account and loses the key")
{
    const auto list = accounts();
    const AccountDirectory directory(list);
    for (const bool isPublic : {false, true}) {
        const auto identified = identify(request(key), route(isPublic), directory);
        REQUIRE(identified);
        CHECK(identified->account == list.data());
        CHECK(identified->request->account == "acme");
        checkStripped(*identified);
    }
}

TEST_CASE("a request without a known key is admitted on public routes only, and loses its fields")
{
    const auto list = accounts();
    const AccountDirectory directory(list);
    for (const char *unknown : {"", "k-4", "K-1"}) {
        CHECK_FALSE(identify(request(unknown), route(false), directory));
        const auto identified = identify(request(unknown), route(true), directory);
        REQUIRE(identified);
        CHECK(identified->account == nullptr);
        CHECK(identified->request->account.empty());
        checkStripped(*identified);
    }
}

TEST_CASE("without accounts a request stays as it is")
{
    const AccountDirectory none({});
    for (const bool isPublic : {false, true}) {
        const auto original = request(key);
        const auto identified = identify(original, route(isPublic), none);
        REQUIRE(identified);
        CHECK(identified->request == original);
        CHECK(identified->account == nullptr);
        const auto delegated = identifyDelegated(original, route(isPublic), none);
        REQUIRE(delegated);
        CHECK(delegated->request == original);
    }
}

TEST_CASE("a delegated request belongs to the account that the member names, if that is known")
{
    const auto list = accounts();
    const AccountDirectory directory(list);
    const auto identified = identifyDelegated(request("", "other"), route(false), directory);
    REQUIRE(identified);
    CHECK(identified->account == &list[1]);
    CHECK(identified->request->account == "other");
    checkStripped(*identified);
    // Not even on a public route: its limits and priority are unknown here.
    for (const bool isPublic : {false, true}) {
        CHECK_FALSE(identifyDelegated(request("", "gone"), route(isPublic), directory));
        CHECK_FALSE(identifyDelegated(request(key, "gone"), route(isPublic), directory));
        CHECK_FALSE(identifyDelegated(request("", "acme"), route(isPublic), AccountDirectory({})));
    }
}

TEST_CASE("a delegated request of a member without accounts is checked by its key")
{
    const auto list = accounts();
    const AccountDirectory directory(list);
    const auto identified = identifyDelegated(request("k-3"), route(false), directory);
    REQUIRE(identified);
    CHECK(identified->account == &list[1]);
    checkStripped(*identified);
    CHECK_FALSE(identifyDelegated(request("k-4"), route(false), directory));
    CHECK(identifyDelegated(request("k-4"), route(true), directory));
}

// Guards against any combination that lets a key through, or a request without one.
TEST_CASE("whatever is admitted where there are accounts carries no key and at most one account")
{
    rc::prop("no key is passed on", [] {
        const auto list = accounts();
        const AccountDirectory directory(list);
        const auto sentKey = *rc::gen::element<std::string>("", "k-1", "k-2", "k-3", "k-4");
        const auto name = *rc::gen::element<std::string>("", "acme", "other", "gone");
        const bool isPublic = *rc::gen::arbitrary<bool>();
        const bool isDelegated = *rc::gen::arbitrary<bool>();
        const auto identified = isDelegated
                ? identifyDelegated(request(sentKey, name), route(isPublic), directory)
                : identify(request(sentKey), route(isPublic), directory);
        if (!identified) {
            return;
        }
        RC_ASSERT(identified->request->accountKey.empty());
        RC_ASSERT(identified->request->identityFields.empty());
        RC_ASSERT((identified->account != nullptr || isPublic));
        RC_ASSERT(identified->request->account
                  == (identified->account == nullptr ? "" : identified->account->name));
    });
}
