#pragma once

#include <StandIns/platformserver.h>

#include <map>
#include <string>

namespace Trefoil::StandIns
{

/// The object store: PUT and GET /v1/objects/<name>. A name that exists keeps its first body; another body is answered with 409.
/// Thread safety: one thread at a time.
class ObjectStore
{
public:
    ServiceReply handle(const ServiceRequest &request, bool staleRead);

    /// Keeps the present objects for stale reads.
    void rememberState();

private:
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::string> m_remembered;
};

/// The object store's service; the store must outlive the server.
PlatformService objectService(ObjectStore &store);

} // namespace Trefoil::StandIns
