#pragma once

#include <Platform/Soak/customerpromises.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

namespace Trefoil::Soak
{

/// Begins all keys of a run, so that a key is recognised wherever it turns up.
constexpr std::string_view s_keyMark = "soak-key-";

/// What a caller sends to identify itself.
struct Credentials
{
    /// Values of Authorization and of Tenant-Id, each in a header of its own.
    std::vector<std::string> authorizations{};
    std::vector<std::string> names{};
    /// The key that they carry; empty when they identify nobody whatever the configuration is.
    std::string key{};
    /// The key is in force at present, and its customer has no regions.
    bool isKnownEverywhere = false;
    /// The key is, was or will be one of a customer with a limit.
    bool isLimited = false;
};

/// The customers of a run with their keys and limits, and what their callers send. Thread safety: one thread at a time.
class CustomerBook
{
public:
    explicit CustomerBook(std::uint64_t seed);

    /// The customers as the configuration has them. Thread safety: as for the class.
    nlohmann::json document() const;

    /// The same for the checks. Thread safety: as for the class.
    CustomerVersions versions() const;

    /// Removes the oldest key of a customer; its last one is replaced by another. The target counts modulo the number of customers.
    void removeKey(std::size_t target);

    /// Adds a key that callers use already, or one that was removed before.
    void addKey(std::size_t target);

    /// Lowers the limit of a customer that has one to a third, or brings it back to what it was at first.
    void lowerLimit(std::size_t target);
    void restoreLimit(std::size_t target);

    /// Draws what a caller sends: mostly a key in force, also removed and future ones, one that two customers hold, none, and malformed headers.
    Credentials draw();

private:
    struct Customer
    {
        std::string name;
        int priority = 0;
        double rate = 0;
        double burst = 0;
        std::vector<std::string> regions;
        /// Share of the callers.
        double demand = 0;
        bool isLowered = false;
        std::vector<std::string> keys{};
        std::vector<std::string> removedKeys{};
        std::string nextKey{};
        int madeKeys = 0;
    };

    std::string makeKey(Customer &customer) const;
    Customer &limited(std::size_t target);

    std::uint64_t m_seed;
    pcg32 m_random;
    std::vector<Customer> m_customers;
};

} // namespace Trefoil::Soak
