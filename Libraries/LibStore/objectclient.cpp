#include <LibStore/objectclient.h>

#include <fmt/format.h>

namespace Trefoil
{

namespace
{

constexpr int s_notFound = 404;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

ObjectClient::ObjectClient(boost::asio::io_context &context, const StoreSettings &settings)
    : m_connection(context, settings)
{
}

ObjectPutResult ObjectClient::put(const std::string &name, const std::string &body, BootTime deadline, const boost::asio::yield_context &yield)
{
    auto result = m_connection.requestRepeatedly({"PUT", "/v1/objects/" + name, body}, StoreAccess::Write, deadline, yield);
    if (auto *unavailable = std::get_if<Unavailable>(&result)) {
        return std::move(*unavailable);
    }
    const int status = std::get<JsonResponse>(result).status;
    if (!isSuccess(status)) {
        return Unavailable{fmt::format("the object store responded {}", status)};
    }
    return ObjectStored{};
}

ObjectGetResult ObjectClient::get(const std::string &name, BootTime deadline, const boost::asio::yield_context &yield)
{
    auto result = m_connection.requestRepeatedly({"GET", "/v1/objects/" + name}, StoreAccess::Read, deadline, yield);
    if (auto *unavailable = std::get_if<Unavailable>(&result)) {
        return std::move(*unavailable);
    }
    auto &response = std::get<JsonResponse>(result);
    if (response.status == s_notFound) {
        return ObjectNotFound{};
    }
    if (!isSuccess(response.status)) {
        return Unavailable{fmt::format("the object store responded {}", response.status)};
    }
    return ObjectBody{std::move(response.body)};
}

} // namespace Trefoil
