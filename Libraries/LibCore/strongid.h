#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Trefoil
{

/// An identifier of its own type, so that ids of different kinds cannot be mixed up.
/// Thread safety: as for a value of type Rep.
template<typename Tag, typename Rep>
class StrongId
{
public:
    StrongId() = default;

    /// Wraps a raw value. Precondition: none; syntax is checked where input enters the system.
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    /// The raw value. Thread safety: safe for concurrent readers.
    const Rep &value() const
    {
        return m_value;
    }

    friend bool operator==(const StrongId &a, const StrongId &b)
    {
        return a.m_value == b.m_value;
    }
    friend bool operator!=(const StrongId &a, const StrongId &b)
    {
        return !(a == b);
    }
    friend bool operator<(const StrongId &a, const StrongId &b)
    {
        return a.m_value < b.m_value;
    }
    friend bool operator>(const StrongId &a, const StrongId &b)
    {
        return b < a;
    }
    friend bool operator<=(const StrongId &a, const StrongId &b)
    {
        return !(b < a);
    }
    friend bool operator>=(const StrongId &a, const StrongId &b)
    {
        return !(a < b);
    }
    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.m_value;
    }

private:
    Rep m_value{};
};

using HostId = StrongId<struct HostIdTag, std::string>;
using RegionId = StrongId<struct RegionIdTag, std::string>;
using ZoneId = StrongId<struct ZoneIdTag, std::string>;
using ServiceId = StrongId<struct ServiceIdTag, std::string>;
using UpstreamId = StrongId<struct UpstreamIdTag, std::string>;
using TenantId = StrongId<struct TenantIdTag, std::string>;
using ClassId = StrongId<struct ClassIdTag, std::string>;
using RequestId = StrongId<struct RequestIdTag, std::string>;
using RequestKey = StrongId<struct RequestKeyTag, std::string>;

/// Version of the configuration document; only grows.
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, std::uint64_t>;
/// Epoch of a host's membership; changes when its grants were reclaimed.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// Random number drawn by each process at its start.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

} // namespace Trefoil

template<typename Tag, typename Rep>
struct std::hash<Trefoil::StrongId<Tag, Rep>>
{
    std::size_t operator()(const Trefoil::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
