#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace Trefoil {

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

/// The caller of claim() holds the claim and may send the request once.
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
/// The request may have run; its outcome was never recorded.
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

/// At-most-once claims in the table service, batched over all requests of this host.
class ClaimService
{
public:
    struct Implementation;
    explicit ClaimService(std::unique_ptr<Implementation> implementation);
    ~ClaimService();

    /// Claims a key before its request is sent. Never returns ClaimNotFound.
    /// Precondition: the calling coroutine runs on a worker's io_context. Thread safety: safe from any thread.
    ClaimResult claim(const ClaimKey &key, BootTime deadline, boost::asio::yield_context yield);

    /// What became of a key. Never returns ClaimGranted.
    /// Precondition and thread safety: as for claim().
    ClaimResult status(const ClaimKey &key, BootTime deadline, boost::asio::yield_context yield);

    /// Keeps the response of a claimed request; written in the background and retried while the store is away.
    /// Precondition: claimId came from ClaimGranted for this key. Thread safety: safe from any thread.
    void recordResponse(const ClaimKey &key, const std::string &claimId, StoredResponse response);

    /// Deletes the claim of a request that certainly did not run.
    /// Precondition and thread safety: as for recordResponse().
    void recordNotRun(const ClaimKey &key, const std::string &claimId);

private:
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
