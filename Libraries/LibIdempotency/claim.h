#pragma once

#include <LibCore/strongid.h>

#include <string>
#include <variant>

/// At-most-once claims: the row of a key in the table service is written before its request is sent.
namespace Trefoil
{

/// Names one non-repeatable request.
struct ClaimKey
{
    ServiceId service;
    TenantId tenant;
    RequestKey key;
};

/// A response kept with its claim, so that later attempts get it again.
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The caller holds the claim and may send the request once.
struct ClaimGranted
{
    std::string claimId;
};
struct ClaimAnswered
{
    StoredResponse response;
};
/// Another attempt holds the claim and is in flight.
struct ClaimRunning
{
};
/// The request may have run, but no response was kept.
struct ClaimOutcomeUnknown
{
};
struct ClaimNotFound
{
};
struct ClaimKeyExpired
{
};
/// The store did not confirm the claim before the deadline. Nothing may be sent under it.
struct ClaimUnavailable
{
};

using ClaimResult = std::variant<ClaimGranted, ClaimAnswered, ClaimRunning, ClaimOutcomeUnknown, ClaimNotFound, ClaimKeyExpired, ClaimUnavailable>;

} // namespace Trefoil
