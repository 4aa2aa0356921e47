#include <Platform/Soak/customerpromises.h>

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace Trefoil::Soak
{

namespace
{

/// The customer that a key identifies; a key of several identifies none.
std::optional<std::string> holderOf(const CustomerVersions &customers, const std::string &key)
{
    std::optional<std::string> holder;
    for (const auto &[name, customer] : customers) {
        if (std::find(customer.keys.begin(), customer.keys.end(), key) == customer.keys.end()) {
            continue;
        }
        if (holder) {
            return std::nullopt;
        }
        holder = name;
    }
    return holder;
}

std::string join(const std::set<std::string> &names)
{
    return names.empty() ? "nobody" : fmt::format("{}", fmt::join(names, " and "));
}

} // namespace

void CustomerPromises::configured(CustomerVersions customers, BootTime sentAt, BootTime acknowledgedAt)
{
    m_versions.push_back({std::move(customers), sentAt, acknowledgedAt});
}

BootTime CustomerPromises::replacedAt(std::size_t index) const
{
    return index + 1 < m_versions.size() ? m_versions[index + 1].acknowledgedAt : BootTime::max();
}

std::set<std::string> CustomerPromises::holders(const std::string &key, BootTime from, BootTime until) const
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
        if (m_versions[i].sentAt > until || replacedAt(i) < from) {
            continue;
        }
        if (const auto holder = holderOf(m_versions[i].customers, key)) {
            names.insert(*holder);
        }
    }
    return names;
}

std::optional<BootTime> CustomerPromises::heldSince(const std::string &key, BootTime until) const
{
    std::optional<BootTime> since;
    std::optional<std::string> holder;
    for (auto version = m_versions.rbegin(); version != m_versions.rend(); ++version) {
        if (version->sentAt > until) {
            continue;
        }
        const auto holderThen = holderOf(version->customers, key);
        if (!holderThen || (holder && holderThen != holder)) {
            break;
        }
        holder = holderThen;
        since = version->acknowledgedAt;
    }
    return since;
}

bool CustomerPromises::allowsRegion(const std::string &customer, const std::string &region, BootTime from, BootTime until) const
{
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
        const auto found = m_versions[i].customers.find(customer);
        if (m_versions[i].sentAt > until || replacedAt(i) < from || found == m_versions[i].customers.end()) {
            continue;
        }
        const std::vector<std::string> &regions = found->second.regions;
        if (regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end()) {
            return true;
        }
    }
    return false;
}

bool CustomerPromises::hasLimit(const std::string &customer, BootTime from, BootTime until) const
{
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
        const auto found = m_versions[i].customers.find(customer);
        if (m_versions[i].sentAt <= until && replacedAt(i) >= from && found != m_versions[i].customers.end() && found->second.rate > 0) {
            return true;
        }
    }
    return false;
}

void CustomerPromises::checkExecution(const CallerRequest &request, const Execution &execution, std::vector<std::string> &found) const
{
    const BootTime from = request.sentAt - m_rules.revocationTime;
    const auto allowed = holders(request.key, from, execution.begunAt);
    if (!request.isPublic && allowed.empty()) {
        const auto earlier = holders(request.key, BootTime::min(), execution.begunAt);
        found.push_back(earlier.empty() ? fmt::format("{}: ran on {} without a key that a configuration held", request.id, request.route)
                                        : fmt::format("{}: ran on {} at host {} although its key of {} had been removed more than {} ms before it was sent",
                                            request.id,
                                            request.route,
                                            request.host,
                                            join(earlier),
                                            m_rules.revocationTime.count()));
        return;
    }
    if (request.isPublic && execution.customer.empty()) {
        return;
    }
    if (allowed.count(execution.customer) == 0) {
        found.push_back(fmt::format("{}: ran under the name \"{}\", its key is of {}", request.id, execution.customer, join(allowed)));
        return;
    }
    if (!allowsRegion(execution.customer, execution.region, from, execution.begunAt)) {
        found.push_back(fmt::format("{}: ran in {}, which customer {} does not allow", request.id, execution.region, execution.customer));
    }
}

void CustomerPromises::checkEnd(const CallerRequest &request, const InForceBy &inForceBy, std::vector<std::string> &found) const
{
    if (request.end == ResponseKind::Unauthorized) {
        if (request.isPublic) {
            found.push_back(fmt::format("{}: answered 401 on a public route", request.id));
            return;
        }
        const auto since = heldSince(request.key, request.endedAt);
        if (since && inForceBy(*since) <= request.sentAt) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(request.sentAt - *since);
            found.push_back(fmt::format("{}: answered 401 by host {}, {} ms after its key was added", request.id, request.host, age.count()));
        }
    }
    if (request.end == ResponseKind::QuotaExceeded) {
        const BootTime from = request.sentAt - m_rules.revocationTime;
        const auto names = holders(request.key, from, request.endedAt);
        if (std::none_of(names.begin(), names.end(), [&](const std::string &name) { return hasLimit(name, from, request.endedAt); })) {
            found.push_back(fmt::format("{}: answered 429, {} has no limit", request.id, join(names)));
        }
    }
}

std::optional<double> CustomerPromises::windowBound(const std::string &customer, BootTime from, const InForceBy &inForceBy) const
{
    double most = 0;
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
        const auto found = m_versions[i].customers.find(customer);
        if (found == m_versions[i].customers.end() || m_versions[i].sentAt >= from + m_rules.quotaWindow) {
            continue;
        }
        const CustomerVersion &version = found->second;
        if (i + 1 < m_versions.size() && inForceBy(replacedAt(i)) <= from) {
            continue;
        }
        if (version.rate == 0) {
            return std::nullopt;
        }
        most = std::max(most, version.rate * std::chrono::duration<double>(m_rules.quotaWindow).count() + version.burst);
    }
    return most * (1 + m_rules.quotaOverage) + m_rules.quotaSlack;
}

void CustomerPromises::checkWindows(const std::multimap<std::string, Execution> &executions, const InForceBy &inForceBy, std::vector<std::string> &found) const
{
    std::map<std::string, std::vector<const Execution *>> ofCustomers;
    for (const auto &[id, execution] : executions) {
        ofCustomers[execution.customer].push_back(&execution);
    }
    for (auto &[customer, runs] : ofCustomers) {
        if (customer.empty()) {
            continue;
        }
        std::sort(runs.begin(), runs.end(), [](const Execution *left, const Execution *right) { return left->begunAt < right->begunAt; });
        double worst = 0;
        std::string violation;
        for (auto first = runs.begin(); first != runs.end(); ++first) {
            const auto bound = windowBound(customer, (*first)->begunAt, inForceBy);
            if (!bound) {
                continue;
            }
            // A request that two upstreams ran counts once.
            std::set<std::string> ids;
            for (auto run = first; run != runs.end() && (*run)->begunAt < (*first)->begunAt + m_rules.quotaWindow; ++run) {
                ids.insert((*run)->id);
            }
            const double excess = static_cast<double>(ids.size()) - *bound;
            if (excess > worst) {
                worst = excess;
                violation = fmt::format("{}: {} requests ran in a window of {} ms that begins with {}, {:.1f} are allowed",
                    customer,
                    ids.size(),
                    m_rules.quotaWindow.count(),
                    (*first)->id,
                    *bound);
            }
        }
        if (!violation.empty()) {
            found.push_back(violation);
        }
    }
}

} // namespace Trefoil::Soak
