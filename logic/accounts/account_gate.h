#pragma once

#include "core/http_message.h"
#include "core/routing_config.h"
#include "logic/accounts/account_directory.h"

#include <memory>
#include <optional>

namespace lagoondeck {

/// A request with the account that it belongs to.
struct IdentifiedRequest
{
    /// Contains no key if the configuration has accounts.
    std::shared_ptr<const ForwardedRequest> request;
    /// Null if the request belongs to no account.
    const ClientAccount *account = nullptr;
};

/// Finds the account of a caller's request by its key. Returns nothing if the route needs a key and
/// the request has no valid one.
///
/// Without accounts the request stays as it is, because then the fields that would tell the
/// caller's identity are meant for the target.
std::optional<IdentifiedRequest> identify(std::shared_ptr<const ForwardedRequest> request,
                                          const Route &route, const AccountDirectory &accounts);

/// Finds the account of a request that a member delegated. The member tells the account's name. A
/// member of a version without accounts passes the caller's key on, which is then checked here.
/// Returns nothing if this instance can't tell that the request may be served.
std::optional<IdentifiedRequest> identifyDelegated(std::shared_ptr<const ForwardedRequest> request,
                                                   const Route &route,
                                                   const AccountDirectory &accounts);

} // namespace lagoondeck
