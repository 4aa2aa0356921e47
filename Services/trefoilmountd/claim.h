#pragma once

#include <Services/trefoilmountd/claimaccess.h>
#include <Services/trefoilmountd/requestmodel.h>

#include <string>
#include <variant>

namespace Trefoil
{

/// A claim that this host holds for one request. Without a recorded outcome it stays open and later reads "unknown".
struct HeldClaim
{
    ClaimKey key;
    std::string claimId;
};

/// Claim filter: acquires the claim of a non-repeatable request, or returns how the request ends without being sent.
/// Precondition: the request has a key.
std::variant<HeldClaim, RequestEnd> acquireClaim(const ClaimAccess &access, const ClassifiedRequest &request, const boost::asio::yield_context &yield);

/// Records how a claimed request ended; an unknown end leaves the claim without an outcome.
/// Precondition: the request was sent at most once under the claim and will not be sent again.
void recordClaimOutcome(const ClaimAccess &access, const HeldClaim &claim, const RequestEnd &end);

/// Responds to GET /v1/keys/<service>/<tenant>/<key>.
HttpResponse answerKeyQuery(const ClaimAccess &access, const KeyQuery &query, BootTime deadline, const boost::asio::yield_context &yield);

} // namespace Trefoil
