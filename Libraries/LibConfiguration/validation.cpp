#include <LibConfiguration/validation.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <cctype>
#include <fmt/format.h>
#include <set>

namespace Trefoil
{

namespace
{

constexpr std::size_t s_maximumNameLength = 64;
constexpr std::int32_t s_maximumSlots = 100000;
constexpr std::int32_t s_maximumWeight = 10000;
constexpr Milliseconds s_longestDuration = std::chrono::hours(24);

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
}

/// Collects the findings of one pass over a configuration.
class Validator
{
public:
    explicit Validator(const Configuration &configuration)
        : m_configuration(configuration)
    {
    }

    Findings run()
    {
        checkRegions();
        checkLinks();
        checkServices();
        checkClasses();
        checkTenants();
        checkClientBlocks();
        return std::move(m_findings);
    }

private:
    void add(std::string place, std::string message, std::string hint = {})
    {
        m_findings.push_back({std::move(place), std::move(message), std::move(hint)});
    }

    void checkName(const std::string &place, const std::string &name, std::set<std::string> &seen)
    {
        if (!isValidName(name)) {
            add(place, fmt::format("\"{}\" is not a valid name", name), "1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit");
            return;
        }
        if (!seen.insert(name).second) {
            add(place, fmt::format("\"{}\" is declared twice", name));
        }
    }

    template<typename Number>
    void checkRange(const std::string &place, Number value, Number low, Number high)
    {
        if (value < low || value > high) {
            add(place, fmt::format("{} is not between {} and {}", value, low, high));
        }
    }

    void checkDuration(const std::string &place, Milliseconds value)
    {
        checkRange<std::int64_t>(place, value.count(), 1, s_longestDuration.count());
    }

    void checkRegionReference(const std::string &place, const RegionId &region)
    {
        if (m_regionNames.count(region.value()) != 0) {
            return;
        }
        const std::vector<std::string> known(m_regionNames.begin(), m_regionNames.end());
        const std::string nearest = nearestName(region.value(), known);
        add(place, fmt::format("unknown region \"{}\"", region.value()), nearest.empty() ? "" : fmt::format("did you mean \"{}\"?", nearest));
    }

    void checkRegions()
    {
        for (std::size_t i = 0; i < m_configuration.regions.size(); ++i) {
            const auto &region = m_configuration.regions[i];
            const std::string place = fmt::format("/regions/{}", i);
            checkName(place + "/id", region.id.value(), m_regionNames);
            checkRange(place + "/limitPercent", region.limitPercent, 1, 100);
            for (std::size_t j = 0; j < region.zones.size(); ++j) {
                checkName(fmt::format("{}/zones/{}/id", place, j), region.zones[j].id.value(), m_zoneNames);
                m_zonesOfRegions.insert({region.id, region.zones[j].id});
            }
        }
    }

    void checkLinks()
    {
        std::set<std::pair<RegionId, RegionId>> seen;
        for (std::size_t i = 0; i < m_configuration.links.size(); ++i) {
            const auto &link = m_configuration.links[i];
            const std::string place = fmt::format("/links/{}", i);
            checkRegionReference(place + "/from", link.from);
            checkRegionReference(place + "/to", link.to);
            checkRange<std::int64_t>(place + "/delayMs", link.delay.count(), 0, 10000);
            checkRange<std::int64_t>(place + "/capacityKbps", link.capacity.value(), 1, 1000000000);
            if (link.from == link.to) {
                add(place, "a link needs two different regions");
            }
            if (!seen.insert({link.from, link.to}).second) {
                add(place, fmt::format("the link from \"{}\" to \"{}\" is declared twice", link.from.value(), link.to.value()));
            }
        }
    }

    void checkServices()
    {
        for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
            const auto &service = m_configuration.services[i];
            const std::string place = fmt::format("/services/{}", i);
            checkName(place + "/id", service.id.value(), m_serviceNames);
            checkRange<std::int64_t>(place + "/shiftCap/requests", service.shiftCap.requests.value(), 0, 1000000000);
            checkDuration(place + "/shiftCap/intervalMs", service.shiftCap.interval);
            for (std::size_t j = 0; j < service.upstreams.size(); ++j) {
                checkUpstream(fmt::format("{}/upstreams/{}", place, j), service.upstreams[j]);
            }
        }
    }

    void checkUpstream(const std::string &place, const UpstreamConfiguration &upstream)
    {
        checkName(place + "/id", upstream.id.value(), m_upstreamNames);
        checkRegionReference(place + "/region", upstream.region);
        if (m_zonesOfRegions.count({upstream.region, upstream.zone}) == 0) {
            add(place + "/zone", fmt::format("region \"{}\" has no availability zone \"{}\"", upstream.region.value(), upstream.zone.value()));
        }
        checkAddress(place + "/address", upstream.address);
        checkRange(place + "/slots", upstream.slots.value(), 1, s_maximumSlots);
        checkRange(place + "/connections", upstream.connections.value(), 1, s_maximumSlots);
        checkRange(place + "/weight", upstream.weight, 0, s_maximumWeight);
    }

    void checkAddress(const std::string &place, const std::string &address)
    {
        if (!isValidAddress(address)) {
            add(place, fmt::format("\"{}\" is not an IPv4 number and port", address), "for example 127.0.0.1:9001");
        }
    }

    void checkClasses()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < m_configuration.classes.size(); ++i) {
            const auto &requestClass = m_configuration.classes[i];
            const std::string place = fmt::format("/classes/{}", i);
            checkName(place + "/id", requestClass.id.value(), names);
            checkDuration(place + "/defaultDeadlineMs", requestClass.defaultDeadline);
            checkDuration(place + "/progressTimeoutMs", requestClass.progressTimeout);
        }
    }

    void checkTenants()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < m_configuration.tenants.size(); ++i) {
            const auto &tenant = m_configuration.tenants[i];
            const std::string place = fmt::format("/tenants/{}", i);
            checkName(place + "/id", tenant.id.value(), names);
            checkRange(place + "/weight", tenant.weight, 1, s_maximumWeight);
        }
    }

    void checkClientBlocks()
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < m_configuration.clientBlocks.size(); ++i) {
            const auto &block = m_configuration.clientBlocks[i];
            const std::string place = fmt::format("/clientBlocks/{}", i);
            boost::system::error_code error;
            const auto network = boost::asio::ip::make_network_v4(block.block, error);
            if (error || network != network.canonical()) {
                add(place + "/block", fmt::format("\"{}\" is not an IPv4 block", block.block), "for example 198.51.100.0/24, with no host bits set");
            } else if (!seen.insert(block.block).second) {
                add(place + "/block", fmt::format("block \"{}\" is declared twice", block.block));
            }
            checkRegionReference(place + "/region", block.region);
        }
    }

    const Configuration &m_configuration;
    Findings m_findings;
    std::set<std::string> m_regionNames;
    std::set<std::string> m_zoneNames;
    std::set<std::string> m_serviceNames;
    std::set<std::string> m_upstreamNames;
    std::set<std::pair<RegionId, ZoneId>> m_zonesOfRegions;
};

} // namespace

bool isValidName(const std::string &name)
{
    if (name.empty() || name.size() > s_maximumNameLength || std::isalnum(static_cast<unsigned char>(name.front())) == 0) {
        return false;
    }
    return std::all_of(name.begin(), name.end(), isNameCharacter);
}

bool isValidAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(address.substr(0, colon), error);
    const std::string port = address.substr(colon + 1);
    const bool isNumber = !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    return !error && isNumber && std::stoi(port) >= 1 && std::stoi(port) <= 65535;
}

Findings validate(const Configuration &configuration)
{
    return Validator(configuration).run();
}

} // namespace Trefoil
