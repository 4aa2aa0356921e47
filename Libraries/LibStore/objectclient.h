#pragma once

#include <LibStore/storeconnection.h>

#include <string>
#include <variant>

namespace Trefoil
{

struct ObjectStored
{
};
struct ObjectBody
{
    std::string body;
};
struct ObjectNotFound
{
};

using ObjectPutResult = std::variant<ObjectStored, Unavailable>;
using ObjectGetResult = std::variant<ObjectBody, ObjectNotFound, Unavailable>;

/// Client of the object store. Objects are immutable: a name is only ever written with one body, so a put may be repeated.
/// Thread safety: one thread at a time, the one that runs the io_context; several coroutines of that thread may call at once.
class ObjectClient
{
public:
    /// Precondition: context outlives the client.
    ObjectClient(boost::asio::io_context &context, const StoreSettings &settings);

    /// Precondition: name needs no escaping in a URL path. Unavailable leaves open whether the object was written.
    ObjectPutResult put(const std::string &name, const std::string &body, BootTime deadline, const boost::asio::yield_context &yield);

    /// Precondition: name needs no escaping in a URL path.
    ObjectGetResult get(const std::string &name, BootTime deadline, const boost::asio::yield_context &yield);

private:
    StoreConnection m_connection;
};

} // namespace Trefoil
