#include <Services/trefoilmountd/adminqueries.h>

#include <LibCommand/parser.h>
#include <LibConfiguration/difference.h>

#include <algorithm>
#include <fmt/format.h>

namespace Trefoil
{

using nlohmann::json;

namespace
{

Error unavailable()
{
    return Error{ErrorCode::Unavailable, "this host does not answer this query"};
}

Error unknownName(const char *kind, const SourceName &name, const std::vector<std::string> &names)
{
    return Error{ErrorCode::InvalidInput,
        "the query is invalid",
        {{toText(name.place), fmt::format("unknown {} \"{}\"", kind, name.text), nearestNameHint(name.text, names)}}};
}

template<typename Item>
std::vector<std::string> namesOf(const std::vector<Item> &items)
{
    std::vector<std::string> names;
    names.reserve(items.size());
    for (const auto &item : items) {
        names.push_back(item.id.value());
    }
    return names;
}

/// Returns an error when the name is not among those of the items.
template<typename Item>
std::optional<Error> checkName(const char *kind, const std::optional<SourceName> &name, const std::vector<Item> &items)
{
    const std::vector<std::string> names = namesOf(items);
    if (!name || std::find(names.begin(), names.end(), name->text) != names.end()) {
        return std::nullopt;
    }
    return unknownName(kind, *name, names);
}

json configurationRows(const Configuration &configuration)
{
    json rows = json::array();
    for (const auto &change : difference(Configuration(), configuration)) {
        rows.push_back({{"subject", change.subject}, {"members", change.after}});
    }
    return rows;
}

json serviceRows(const Configuration &configuration)
{
    json rows = json::array();
    for (const auto &service : configuration.services) {
        std::int64_t slots = 0;
        for (const auto &upstream : service.upstreams) {
            slots += upstream.slots.value();
        }
        rows.push_back({{"service", service.id.value()},
            {"objective", service.objective == Objective::Latency ? "latency" : "headroom"},
            {"cap", fmt::format("{}/{}ms", service.shiftCap.requests.value(), service.shiftCap.interval.count())},
            {"upstreams", service.upstreams.size()},
            {"slots", slots}});
    }
    return rows;
}

const UpstreamState *findState(const RoutingView &view, const UpstreamId &id)
{
    const auto position = std::find_if(view.upstreams.begin(), view.upstreams.end(), [&id](const auto &upstream) { return upstream->configuration.id == id; });
    return position == view.upstreams.end() ? nullptr : position->get();
}

json upstreamRow(const ServiceConfiguration &service, const UpstreamConfiguration &upstream, const UpstreamState *state)
{
    json row = {{"upstream", upstream.id.value()},
        {"service", service.id.value()},
        {"region", upstream.region.value()},
        {"zone", upstream.zone.value()},
        {"address", upstream.address},
        {"slots", upstream.slots.value()},
        {"weight", upstream.weight},
        {"drained", upstream.drained}};
    if (state != nullptr) {
        row["granted"] = state->slots->granted().value();
        row["inFlight"] = state->slots->inFlight().value();
        row["leaving"] = state->leaving;
    }
    return row;
}

json upstreamRows(const RoutingView &view, const std::optional<SourceName> &only)
{
    json rows = json::array();
    for (const auto &service : view.configuration->services) {
        if (only && service.id.value() != only->text) {
            continue;
        }
        for (const auto &upstream : service.upstreams) {
            rows.push_back(upstreamRow(service, upstream, findState(view, upstream.id)));
        }
    }
    return rows;
}

json hostRows(const RoutingView &view)
{
    json rows = json::array();
    for (const auto &host : view.hosts) {
        rows.push_back({{"host", host.id.value()},
            {"region", host.region.value()},
            {"zone", host.zone.value()},
            {"callerAddress", host.callerAddress},
            {"leaving", host.leaving},
            {"freeSlots", host.freeSlots.value()}});
    }
    return rows;
}

std::string title(const ShowCommand &query)
{
    static const char *const titles[] = {"configuration", "services", "upstreams", "hosts", "traffic", "grants"};
    const std::string subject = titles[static_cast<std::size_t>(query.subject)];
    return query.service ? fmt::format("{} of {}", subject, query.service->text) : subject;
}

std::string title(const WhyCommand &query)
{
    return fmt::format("recent requests of {} {}", entityKeyword(query.entity.kind), query.entity.name.text);
}

std::string title(const WhatIfCommand &query)
{
    return fmt::format("drain of {} {}", entityKeyword(query.drain.entity.kind), query.drain.entity.name.text);
}

} // namespace

AdminQueries::AdminQueries(const HostState &state, QuerySources sources)
    : m_state(state)
    , m_sources(std::move(sources))
{
}

Result<json> AdminQueries::answer(const Command &query) const
{
    return std::visit(
        [this](const auto &value) -> Result<json> {
            using Query = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Query, ShowCommand> || std::is_same_v<Query, WhyCommand> || std::is_same_v<Query, WhatIfCommand>) {
                auto result = rows(value);
                if (result.has_error()) {
                    return result.error();
                }
                return json{{"title", title(value)}, {"rows", std::move(result.value())}};
            } else {
                return unavailable();
            }
        },
        query);
}

Result<json> AdminQueries::rows(const ShowCommand &query) const
{
    // Copies the view, because the source functions may take time.
    const RoutingView view = m_state.routing.read([](const RoutingView &current) { return current; });
    if (auto error = checkName("service", query.service, view.configuration->services)) {
        return *error;
    }
    switch (query.subject) {
    case ShowSubject::Configuration:
        return configurationRows(*view.configuration);
    case ShowSubject::Services:
        return serviceRows(*view.configuration);
    case ShowSubject::Upstreams:
        return upstreamRows(view, query.service);
    case ShowSubject::Hosts:
        return hostRows(view);
    case ShowSubject::Traffic:
        return rowsOfService(m_sources.traffic, query);
    case ShowSubject::Grants:
        return rowsOfService(m_sources.grants, query);
    }
    return unavailable();
}

Result<json> AdminQueries::rowsOfService(const std::function<json(const std::optional<ServiceId> &)> &source, const ShowCommand &query) const
{
    if (!source) {
        return unavailable();
    }
    return source(query.service ? std::optional(ServiceId(query.service->text)) : std::nullopt);
}

Result<json> AdminQueries::rows(const WhyCommand &query) const
{
    const auto configuration = m_state.routing.read([](const RoutingView &view) { return view.configuration; });
    const auto error = query.entity.kind == EntityKind::Tenant ? checkName("tenant", std::optional(query.entity.name), configuration->tenants)
                                                               : checkName("service", std::optional(query.entity.name), configuration->services);
    if (error) {
        return *error;
    }
    if (const auto regionError = checkName("region", query.region, configuration->regions)) {
        return *regionError;
    }
    if (!m_sources.why) {
        return unavailable();
    }
    return m_sources.why(query);
}

Result<json> AdminQueries::rows(const WhatIfCommand &query) const
{
    const RoutingView view = m_state.routing.read([](const RoutingView &current) { return current; });
    SlotsInUse inUse;
    for (const auto &upstream : view.upstreams) {
        inUse[upstream->configuration.id] = upstream->slots->inFlight();
    }
    const auto forecast = forecastDrain(*view.configuration, query.drain, inUse);
    if (forecast.has_error()) {
        return forecast.error();
    }
    return toJson(forecast.value());
}

} // namespace Trefoil
