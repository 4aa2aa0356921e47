#include <StandIns/objectstore.h>

namespace Trefoil::StandIns
{

namespace
{

const std::string s_path = "/v1/objects/";

} // namespace

ServiceReply ObjectStore::handle(const ServiceRequest &request, bool staleRead)
{
    if (request.target.compare(0, s_path.size(), s_path) != 0 || request.target.size() == s_path.size()) {
        return {404, R"({"error": "not-found"})"};
    }
    const std::string name = request.target.substr(s_path.size());
    if (request.method == "PUT") {
        const auto [position, inserted] = m_objects.emplace(name, request.body);
        const bool same = inserted || position->second == request.body;
        return same ? ServiceReply{200, "{}"} : ServiceReply{409, R"({"error": "exists"})"};
    }
    const auto &source = staleRead ? m_remembered : m_objects;
    const auto position = source.find(name);
    if (position == source.end()) {
        return {404, R"({"error": "not-found"})"};
    }
    return {200, position->second};
}

void ObjectStore::rememberState()
{
    m_remembered = m_objects;
}

PlatformService objectService(ObjectStore &store)
{
    return {[](const ServiceRequest &request) { return request.method == "PUT" ? Access::Write : Access::Read; },
        [&store](const ServiceRequest &request, bool staleRead) { return store.handle(request, staleRead); },
        [&store] { store.rememberState(); },
        {}};
}

} // namespace Trefoil::StandIns
