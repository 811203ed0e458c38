#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace endivedock {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/**
 * An amount that cannot be confused with amounts of another unit.
 *
 * @tparam Tag  distinguishes the unit; never defined
 * @tparam Rep  the arithmetic representation
 */
template <typename Tag, typename Rep>
class Quantity
{
public:
    using Representation = Rep;

    constexpr Quantity() = default;
    constexpr explicit Quantity(Rep value)
        : m_value(value)
    {
    }

    constexpr Rep value() const { return m_value; }
    constexpr auto operator<=>(const Quantity &) const = default;

    constexpr Quantity &operator+=(Quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }

private:
    Rep m_value{};
};

/** A number of requests that a target runs, or can run, at the same time. */
using Slots = Quantity<struct SlotsTag, int>;
using Bytes = Quantity<struct BytesTag, std::uint64_t>;
/** A fraction of a whole, from 0 to 1. */
using Share = Quantity<struct ShareTag, double>;
using PerSecond = Quantity<struct PerSecondTag, double>;
/** A number of TCP connections. */
using Connections = Quantity<struct ConnectionsTag, int>;

} // namespace endivedock
