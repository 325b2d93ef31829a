#include "logic/accounts/account_gate.h"

#include <utility>

namespace lagoondeck {

namespace {

/// Returns the request without the caller's key, as a request of the account.
IdentifiedRequest withAccount(const ForwardedRequest &request, const ClientAccount *account)
{
    auto identified = std::make_shared<ForwardedRequest>(request);
    identified->identityFields.clear();
    identified->accountKey.clear();
    identified->account = account == nullptr ? std::string() : account->name;
    return {std::move(identified), account};
}

} // namespace

std::optional<IdentifiedRequest> identify(std::shared_ptr<const ForwardedRequest> request,
                                          const Route &route, const AccountDirectory &accounts)
{
    if (accounts.empty()) {
        return IdentifiedRequest {std::move(request), nullptr};
    }
    const ClientAccount *account = accounts.findByKey(request->accountKey);
    if (account == nullptr && !route.isPublic) {
        return std::nullopt;
    }
    return withAccount(*request, account);
}

std::optional<IdentifiedRequest> identifyDelegated(std::shared_ptr<const ForwardedRequest> request,
                                                   const Route &route,
                                                   const AccountDirectory &accounts)
{
    if (request->account.empty()) {
        return identify(std::move(request), route, accounts);
    }
    const ClientAccount *account = accounts.findByName(request->account);
    return account == nullptr ? std::nullopt : std::optional(withAccount(*request, account));
}

} // namespace lagoondeck
