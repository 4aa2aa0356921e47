#include <Services/trefoilmountd/claimaccess.h>

#include <utility>

namespace Trefoil
{

ClaimAccess claimAccessTo(ClaimService *service)
{
    if (!service) {
        return {};
    }
    ClaimAccess access;
    access.claim = [service](const ClaimKey &key, BootTime deadline, const boost::asio::yield_context &yield) { return service->claim(key, deadline, yield); };
    access.status = [service](
                        const ClaimKey &key, BootTime deadline, const boost::asio::yield_context &yield) { return service->status(key, deadline, yield); };
    access.recordResponse = [service](const ClaimKey &key, const std::string &claimId, StoredResponse response) {
        service->recordResponse(key, claimId, std::move(response));
    };
    access.recordNotRun = [service](const ClaimKey &key, const std::string &claimId) { service->recordNotRun(key, claimId); };
    return access;
}

} // namespace Trefoil
