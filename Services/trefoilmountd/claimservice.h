#pragma once

#include <LibCore/bootclock.h>
#include <LibIdempotency/claim.h>
#include <LibStore/tableclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>
#include <string>

namespace Trefoil
{

/// At-most-once claims in the table service, batched over all requests of this host.
class ClaimService
{
public:
    /// Preconditions: control is run by one thread; table belongs to that thread; both outlive the service's last call.
    ClaimService(boost::asio::io_context &control, TableClient &table, const HostId &host, Incarnation incarnation);
    ~ClaimService();
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /// Claims a key before its request is sent. Never returns ClaimNotFound.
    /// Precondition: the calling coroutine runs on a worker's io_context. Thread safety: safe from any thread.
    ClaimResult claim(const ClaimKey &key, BootTime deadline, const boost::asio::yield_context &yield);

    /// Reads the state of a key. Never returns ClaimGranted.
    /// Precondition and thread safety: as for claim().
    ClaimResult status(const ClaimKey &key, BootTime deadline, const boost::asio::yield_context &yield);

    /// Stores the response of a claimed request, in the background and with retries while the store is unavailable.
    /// Precondition: claimId came from ClaimGranted for this key. Thread safety: safe from any thread.
    void recordResponse(const ClaimKey &key, const std::string &claimId, StoredResponse response);

    /// Deletes the claim of a request that certainly did not run.
    /// Precondition and thread safety: as for recordResponse().
    void recordNotRun(const ClaimKey &key, const std::string &claimId);

    /// Deletes the rows of expired keys of one tenant, at most one page per call; call it periodically.
    /// Precondition: none. Thread safety: safe from any thread.
    void deleteExpired(const ServiceId &service, const TenantId &tenant);

private:
    class Implementation;
    /// Shared with coroutines that wait for the store.
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Trefoil
