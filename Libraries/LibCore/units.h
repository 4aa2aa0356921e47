#pragma once

#include <cstdint>

namespace Trefoil
{

/// A counted quantity with a unit of its own.
/// Thread safety: as for a value of type Rep.
template<typename Tag, typename Rep>
class Quantity
{
public:
    constexpr Quantity() = default;

    /// Wraps a raw number of units. Precondition: none.
    constexpr explicit Quantity(Rep value)
        : m_value(value)
    {
    }

    /// The raw number of units. Thread safety: safe for concurrent readers.
    constexpr Rep value() const
    {
        return m_value;
    }

    friend constexpr Quantity operator+(Quantity a, Quantity b)
    {
        return Quantity(a.m_value + b.m_value);
    }
    friend constexpr Quantity operator-(Quantity a, Quantity b)
    {
        return Quantity(a.m_value - b.m_value);
    }
    friend constexpr bool operator==(Quantity a, Quantity b)
    {
        return a.m_value == b.m_value;
    }
    friend constexpr bool operator!=(Quantity a, Quantity b)
    {
        return a.m_value != b.m_value;
    }
    friend constexpr bool operator<(Quantity a, Quantity b)
    {
        return a.m_value < b.m_value;
    }
    friend constexpr bool operator<=(Quantity a, Quantity b)
    {
        return a.m_value <= b.m_value;
    }
    friend constexpr bool operator>(Quantity a, Quantity b)
    {
        return b < a;
    }
    friend constexpr bool operator>=(Quantity a, Quantity b)
    {
        return b <= a;
    }

private:
    Rep m_value{};
};

/// Requests that an upstream works on at once.
using SlotCount = Quantity<struct SlotCountTag, std::int32_t>;
/// Open connections.
using ConnectionCount = Quantity<struct ConnectionCountTag, std::int32_t>;
/// Requests, for caps per interval.
using RequestCount = Quantity<struct RequestCountTag, std::int64_t>;
using Bytes = Quantity<struct BytesTag, std::int64_t>;
using KilobitsPerSecond = Quantity<struct KilobitsPerSecondTag, std::int64_t>;

} // namespace Trefoil
