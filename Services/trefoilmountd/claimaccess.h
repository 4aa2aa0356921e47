#pragma once

#include <Services/trefoilmountd/claimservice.h>

#include <functional>
#include <memory>

namespace Trefoil
{

/// The claim operations that the request path uses; see ClaimService for their contracts. Tests provide their own.
/// Empty functions mean that the store is unavailable.
struct ClaimAccess
{
    std::function<ClaimResult(const ClaimKey &key, BootTime deadline, const boost::asio::yield_context &yield)> claim;
    std::function<ClaimResult(const ClaimKey &key, BootTime deadline, const boost::asio::yield_context &yield)> status;
    std::function<void(const ClaimKey &key, const std::string &claimId, StoredResponse response)> recordResponse;
    std::function<void(const ClaimKey &key, const std::string &claimId)> recordNotRun;
};

/// Returns access to a claim service, which must outlive it; null means that the store is unavailable.
ClaimAccess claimAccessTo(ClaimService *service);

} // namespace Trefoil
