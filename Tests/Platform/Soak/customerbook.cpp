#include <Platform/Soak/customerbook.h>

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace Trefoil::Soak
{

namespace
{

/// Callers have random numbers of their own, so that requests of a run without customers don't depend on them.
constexpr std::uint64_t s_callerStream = 53;
constexpr int s_firstKeys = 3;
/// Callers go on to use this many removed keys of each customer.
constexpr std::size_t s_keptRemovedKeys = 4;
constexpr double s_loweredShare = 1.0 / 3;
/// Every fourth addition brings back a removed key.
constexpr std::size_t s_restoredKeys = 4;
constexpr double s_forgedNames = 0.2;

/// What callers send, by weight.
enum class CredentialKind {
    KeyInForce,
    RemovedKey,
    FutureKey,
    SharedKey,
    NoHeader,
    UnknownKey,
    OtherScheme,
    TwoHeaders,
};
const std::vector<double> s_credentialWeights = {70, 14, 5, 2, 3, 2, 2, 2};

} // namespace

/// Two customers send more than twice their limits, one stays below its limit, and two are bound to a region.
CustomerBook::CustomerBook(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed, s_callerStream)
    , m_customers({{"museum", 0, 0, 0, {}, 35},
          {"archive", 1, 0, 0, {"west"}, 10},
          {"library", 1, 10, 10, {}, 25},
          {"school", 2, 8, 4, {}, 18},
          {"garden", 0, 25, 5, {}, 6},
          {"harbour", 3, 3, 0, {"east"}, 6}})
{
    for (Customer &customer : m_customers) {
        for (int i = 0; i < s_firstKeys; ++i) {
            customer.keys.push_back(makeKey(customer));
        }
        customer.nextKey = makeKey(customer);
    }
}

std::string CustomerBook::makeKey(Customer &customer) const
{
    return fmt::format("{}{:x}-{}-{}", s_keyMark, m_seed, customer.name, ++customer.madeKeys);
}

CustomerVersions CustomerBook::versions() const
{
    CustomerVersions versions;
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        const Customer &customer = m_customers[i];
        const double share = customer.isLowered ? s_loweredShare : 1;
        CustomerVersion version{customer.keys, customer.regions, customer.rate * share, customer.burst * share};
        if (i < 2) {
            version.keys.push_back(fmt::format("{}shared", s_keyMark));
        }
        versions.emplace(customer.name, std::move(version));
    }
    return versions;
}

nlohmann::json CustomerBook::document() const
{
    const CustomerVersions versions = this->versions();
    nlohmann::json document = nlohmann::json::array();
    for (const Customer &customer : m_customers) {
        const CustomerVersion &version = versions.at(customer.name);
        document.push_back({{"name", customer.name},
            {"api_keys", version.keys},
            {"priority", customer.priority},
            {"rate_per_s", version.rate},
            {"burst", version.burst},
            {"allowed_regions", version.regions}});
    }
    return document;
}

void CustomerBook::removeKey(std::size_t target)
{
    Customer &customer = m_customers[target % m_customers.size()];
    if (customer.keys.size() == 1) {
        customer.keys.push_back(makeKey(customer));
    }
    customer.removedKeys.push_back(customer.keys.front());
    customer.keys.erase(customer.keys.begin());
    if (customer.removedKeys.size() > s_keptRemovedKeys) {
        customer.removedKeys.erase(customer.removedKeys.begin());
    }
}

void CustomerBook::addKey(std::size_t target)
{
    Customer &customer = m_customers[target % m_customers.size()];
    if (target / m_customers.size() % s_restoredKeys == 0 && !customer.removedKeys.empty()) {
        customer.keys.push_back(customer.removedKeys.back());
        customer.removedKeys.pop_back();
        return;
    }
    customer.keys.push_back(customer.nextKey);
    customer.nextKey = makeKey(customer);
}

CustomerBook::Customer &CustomerBook::limited(std::size_t target)
{
    std::vector<Customer *> limitedCustomers;
    for (Customer &customer : m_customers) {
        if (customer.rate > 0) {
            limitedCustomers.push_back(&customer);
        }
    }
    return *limitedCustomers[target % limitedCustomers.size()];
}

void CustomerBook::lowerLimit(std::size_t target)
{
    limited(target).isLowered = true;
}

void CustomerBook::restoreLimit(std::size_t target)
{
    limited(target).isLowered = false;
}

Credentials CustomerBook::draw()
{
    std::vector<double> demands;
    for (const Customer &customer : m_customers) {
        demands.push_back(customer.demand);
    }
    const auto pick = [this](const std::vector<std::string> &keys) { return keys[m_random(static_cast<std::uint32_t>(keys.size()))]; };
    const Customer &customer = m_customers[std::discrete_distribution<std::size_t>(demands.begin(), demands.end())(m_random)];
    const auto drawn = std::discrete_distribution<int>(s_credentialWeights.begin(), s_credentialWeights.end())(m_random);
    Credentials credentials;
    credentials.key = pick(customer.keys);
    credentials.isLimited = customer.rate > 0;
    switch (static_cast<CredentialKind>(drawn)) {
    case CredentialKind::KeyInForce:
        credentials.isKnownEverywhere = customer.regions.empty();
        break;
    case CredentialKind::RemovedKey:
        credentials.key = customer.removedKeys.empty() ? customer.nextKey : pick(customer.removedKeys);
        break;
    case CredentialKind::FutureKey:
        credentials.key = customer.nextKey;
        break;
    case CredentialKind::SharedKey:
        credentials.key = fmt::format("{}shared", s_keyMark);
        break;
    case CredentialKind::NoHeader:
        credentials.key.clear();
        break;
    case CredentialKind::UnknownKey:
        credentials.key = fmt::format("{}unknown", s_keyMark);
        break;
    case CredentialKind::OtherScheme:
        credentials.authorizations = {"Bearer " + credentials.key};
        credentials.key.clear();
        break;
    case CredentialKind::TwoHeaders:
        credentials.authorizations = {"Token " + credentials.key, "Token " + credentials.key};
        credentials.key.clear();
        break;
    }
    if (!credentials.key.empty()) {
        credentials.authorizations = {"Token " + credentials.key};
    }
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < s_forgedNames) {
        const Customer &other = m_customers[m_random(static_cast<std::uint32_t>(m_customers.size()))];
        credentials.names.assign(1 + m_random(2), other.name);
    }
    return credentials;
}

} // namespace Trefoil::Soak
