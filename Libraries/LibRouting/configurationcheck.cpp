#include <LibRouting/configurationcheck.h>

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <set>

namespace Trefoil
{

namespace
{

std::string listOf(const std::vector<RegionId> &regions)
{
    std::string text;
    for (const RegionId &region : regions) {
        text += (text.empty() ? "" : ",") + region.value();
    }
    return text.empty() ? "all" : text;
}

std::string listOf(const std::vector<WeightedService> &services)
{
    std::string text;
    for (const WeightedService &part : services) {
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", part.service.value(), part.weight);
    }
    return text;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool hasCommonRegion(const std::vector<RegionId> &first, const std::vector<RegionId> &second)
{
    return first.empty() || second.empty() || std::find_first_of(first.begin(), first.end(), second.begin(), second.end()) != first.end();
}

/// Collects the findings of one configuration.
class Checker
{
public:
    explicit Checker(const RoutingConfiguration &configuration)
        : m_configuration(configuration)
    {
    }

    ConfigurationReport check()
    {
        checkServices();
        checkRoutes();
        checkCustomers();
        checkLimits();
        return std::move(m_report);
    }

private:
    void addError(std::string place, std::string message)
    {
        m_report.errors.push_back({std::move(place), std::move(message), ""});
    }

    void addWarning(std::string place, std::string message)
    {
        m_report.warnings.push_back({std::move(place), std::move(message), ""});
    }

    void checkServices()
    {
        std::set<ServiceId> used;
        for (const Route &route : m_configuration.routes) {
            for (const WeightedService &part : route.services) {
                used.insert(part.service);
            }
        }
        for (const ServicePolicy &policy : m_configuration.services) {
            const std::string place = "services/" + policy.id.value();
            if (!m_services.insert(policy.id).second) {
                addError(place, "the service stands twice; the first entry counts");
            }
            if (used.count(policy.id) == 0) {
                addWarning(place, "no route leads to the service");
            }
            if (policy.coldRequestsPerSecond > 0 && policy.coldStart.count() == 0) {
                addWarning(place, "the rate of cold upstreams has no effect, since no upstream counts as cold after its start");
            }
        }
    }

    void checkRoutes()
    {
        std::set<RouteId> ids;
        std::map<std::pair<std::string, std::string>, RouteId> places;
        for (const Route &route : m_configuration.routes) {
            const std::string place = "routes/" + route.id.value();
            if (!ids.insert(route.id).second) {
                addError(place, "the route stands twice");
            }
            if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/' || route.prefix.find('?') != std::string::npos) {
                addError(place, "the prefix matches no path: it has to begin and end with a slash and hold no query");
            }
            const auto [first, isNew] = places.emplace(std::pair(lowerCase(route.host), route.prefix), route.id);
            if (!isNew && first->second != route.id) {
                addError(place, "never matches: route " + first->second.value() + " has the same host and prefix");
            }
            checkSplit(route, place);
            if (route.targetLatency > route.timeout) {
                addWarning(
                    place, fmt::format("the target latency of {} ms is longer than the timeout of {} ms", route.targetLatency.count(), route.timeout.count()));
            }
        }
    }

    void checkSplit(const Route &route, const std::string &place)
    {
        std::int64_t weights = 0;
        for (const WeightedService &part : route.services) {
            weights += part.weight;
            if (m_services.count(part.service) == 0) {
                addError(place, "service " + part.service.value() + " isn't declared");
            }
            if (part.weight == 0 && route.services.size() > 1) {
                addWarning(place, "service " + part.service.value() + " gets no requests: its weight is 0");
            }
        }
        if (weights == 0) {
            addError(place, "no service gets requests: all weights are 0");
        }
    }

    void checkCustomers()
    {
        std::set<CustomerId> ids;
        std::map<std::string, CustomerId> holders;
        for (const Customer &customer : m_configuration.customers) {
            const std::string place = "customers/" + customer.id.value();
            if (!ids.insert(customer.id).second) {
                addError(place, "the customer stands twice");
            }
            if (customer.keys.empty()) {
                addWarning(place, "the customer has no key, so that no request is its own");
            }
            for (const std::string &key : customer.keys) {
                const auto [holder, isNew] = holders.emplace(key, customer.id);
                if (!isNew && holder->second != customer.id) {
                    addError(place, "customer " + holder->second.value() + " holds one of its keys, too; that key identifies neither");
                }
            }
            if (customer.requestsPerSecond <= 0 && customer.burst > 0) {
                addWarning(place, "the burst has no effect without a rate");
            }
            checkRegionsOf(customer, place);
        }
    }

    void checkRegionsOf(const Customer &customer, const std::string &place)
    {
        for (const Route &route : m_configuration.routes) {
            if (!hasCommonRegion(customer.allowedRegions, route.allowedRegions)) {
                addWarning(place,
                    fmt::format("route {} allows {} and the customer {}, so that none serves both",
                        route.id.value(),
                        listOf(route.allowedRegions),
                        listOf(customer.allowedRegions)));
            }
        }
    }

    void checkLimits()
    {
        const CallerLimits &limits = m_configuration.limits;
        if (limits.idleTimeout < limits.headerTimeout) {
            addWarning("limits", "the idle timeout is shorter than the time for a header");
        }
    }

    const RoutingConfiguration &m_configuration;
    ConfigurationReport m_report;
    std::set<ServiceId> m_services;
};

/// An entry's fields as text, by name.
using Fields = std::map<std::string, std::string>;

Fields fieldsOf(const Route &route)
{
    return {{"host", route.host},
        {"prefix", route.prefix},
        {"kind", route.kind == RequestKind::Idempotent ? "idempotent" : "at most once"},
        {"timeout", fmt::format("{} ms", route.timeout.count())},
        {"target latency", fmt::format("{} ms", route.targetLatency.count())},
        {"priority", fmt::to_string(route.priority)},
        {"attempts", fmt::to_string(route.maximumAttempts)},
        {"affinity", route.hasAffinity ? "yes" : "no"},
        {"public", route.isPublic ? "yes" : "no"},
        {"services", listOf(route.services)},
        {"regions", listOf(route.allowedRegions)}};
}

Fields fieldsOf(const ServicePolicy &policy)
{
    return {{"connections", fmt::to_string(policy.maximumConnections.value())},
        {"health path", policy.healthPath},
        {"cold start", fmt::format("{} ms", policy.coldStart.count())},
        {"cold requests per second", fmt::to_string(policy.coldRequestsPerSecond)}};
}

Fields fieldsOf(const Customer &customer)
{
    return {{"priority", fmt::to_string(customer.priority)},
        {"requests per second", fmt::to_string(customer.requestsPerSecond)},
        {"burst", fmt::to_string(customer.burst)},
        {"regions", listOf(customer.allowedRegions)}};
}

Fields fieldsOf(const CallerLimits &limits)
{
    return {{"header bytes", fmt::to_string(limits.header.value())},
        {"body bytes", fmt::to_string(limits.body.value())},
        {"header timeout", fmt::format("{} ms", limits.headerTimeout.count())},
        {"idle timeout", fmt::format("{} ms", limits.idleTimeout.count())}};
}

std::string changedFields(const Fields &before, const Fields &after)
{
    std::string text;
    for (const auto &[name, value] : after) {
        const std::string &old = before.at(name);
        if (old != value) {
            text += fmt::format("{}{} {} -> {}", text.empty() ? "" : ", ", name, old, value);
        }
    }
    return text;
}

std::string changedKeys(const std::vector<std::string> &before, const std::vector<std::string> &after)
{
    const std::set<std::string> old(before.begin(), before.end());
    const std::set<std::string> current(after.begin(), after.end());
    const auto countMissing = [](const std::set<std::string> &from, const std::set<std::string> &in) {
        return std::count_if(from.begin(), from.end(), [&in](const std::string &key) { return in.count(key) == 0; });
    };
    const auto added = countMissing(current, old);
    const auto removed = countMissing(old, current);
    return added + removed == 0 ? std::string() : fmt::format("keys: {} added, {} removed", added, removed);
}

std::string changesOf(const Customer &before, const Customer &after)
{
    const std::string fields = changedFields(fieldsOf(before), fieldsOf(after));
    const std::string keys = changedKeys(before.keys, after.keys);
    return fields + (fields.empty() || keys.empty() ? "" : ", ") + keys;
}

template<typename Entry>
std::string changesOf(const Entry &before, const Entry &after)
{
    return changedFields(fieldsOf(before), fieldsOf(after));
}

/// Adds a line for each entry that comes, goes or changes.
template<typename Entry>
void compareEntries(const std::string &kind, const std::vector<Entry> &before, const std::vector<Entry> &after, std::vector<std::string> &lines)
{
    using Pair = std::pair<const Entry *, const Entry *>;
    std::map<std::string, Pair> byName;
    for (const Entry &entry : before) {
        byName[entry.id.value()].first = &entry;
    }
    for (const Entry &entry : after) {
        byName[entry.id.value()].second = &entry;
    }
    for (const auto &[name, entries] : byName) {
        const auto [old, current] = entries;
        if (!old || !current) {
            lines.push_back(fmt::format("{} {}: {}", kind, name, old ? "removed" : "added"));
            continue;
        }
        if (const std::string changes = changesOf(*old, *current); !changes.empty()) {
            lines.push_back(fmt::format("{} {}: {}", kind, name, changes));
        }
    }
}

} // namespace

ConfigurationReport checkConfiguration(const RoutingConfiguration &configuration)
{
    return Checker(configuration).check();
}

std::vector<std::string> describeChanges(const RoutingConfiguration &inForce, const RoutingConfiguration &proposed)
{
    std::vector<std::string> lines;
    if (proposed.version <= inForce.version) {
        lines.push_back(fmt::format("version: {} is not above {}, which stays in force", proposed.version.value(), inForce.version.value()));
    }
    compareEntries("route", inForce.routes, proposed.routes, lines);
    compareEntries("service", inForce.services, proposed.services, lines);
    compareEntries("customer", inForce.customers, proposed.customers, lines);
    if (const std::string changes = changedFields(fieldsOf(inForce.limits), fieldsOf(proposed.limits)); !changes.empty()) {
        lines.push_back("limits: " + changes);
    }
    return lines;
}

} // namespace Trefoil
