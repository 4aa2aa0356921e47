#include <Services/trefoilmountd/relay.h>

#include <LibCore/constanttime.h>
#include <Services/trefoilmountd/forwarding.h>

#include <charconv>
#include <fmt/format.h>

namespace Trefoil
{

namespace
{

/// Skips leaving and excluded hosts; null when no other host has a free slot.
const HostRouting *hostWithMostFreeSlots(const RoutingView &view, const HostId &ownHost, const RegionId &region, const std::set<HostId> &excluded)
{
    const HostRouting *best = nullptr;
    for (const auto &host : view.hosts) {
        if (host.region != region || host.leaving || host.id == ownHost || host.freeSlots.value() <= 0 || excluded.count(host.id) > 0) {
            continue;
        }
        if (!best || host.freeSlots > best->freeSlots) {
            best = &host;
        }
    }
    return best;
}

bool isOpenRegion(const RoutingView &view, const RegionId &region)
{
    for (const auto &candidate : view.configuration->regions) {
        if (candidate.id == region) {
            return !candidate.drained;
        }
    }
    return false;
}

int statusOrDefault(int status, int fallback)
{
    return status >= 400 && status <= 599 ? status : fallback;
}

} // namespace

std::optional<RelayTarget> chooseRelayTarget(const RoutingView &view,
    const HostId &ownHost,
    const RegionId &ownRegion,
    const std::set<HostId> &excluded,
    bool sameRegionOnly,
    Bytes estimate,
    BootTime now)
{
    if (const HostRouting *host = hostWithMostFreeSlots(view, ownHost, ownRegion, excluded)) {
        return RelayTarget{host->id, host->callerAddress};
    }
    if (sameRegionOnly) {
        return std::nullopt;
    }
    for (const auto &link : view.links) {
        const HostRouting *host = isOpenRegion(view, link.to) ? hostWithMostFreeSlots(view, ownHost, link.to, excluded) : nullptr;
        if (!host) {
            continue;
        }
        if (auto reservation = link.budget->tryReserve(estimate, now)) {
            return RelayTarget{host->id, host->callerAddress, std::move(reservation)};
        }
    }
    return std::nullopt;
}

HttpRequest makeRelayRequest(const ClassifiedRequest &request, const HttpRequest &original, const HostId &ownHost, const std::string &secret)
{
    const ParsedRequest &parsed = request.parsed;
    HttpRequest relayed{parsed.method, fmt::format("/v1/requests/{}{}", parsed.service.value(), parsed.upstreamTarget), {}, original.body};
    copyEndToEndHeaders(original.headers, relayed.headers);
    relayed.headers.add("Authorization", "Bearer " + secret);
    relayed.headers.add("Trefoil-Relay", ownHost.value());
    relayed.headers.add("Trefoil-Request-Id", request.id.value());
    relayed.headers.add("Trefoil-Home-Region", request.home.value());
    relayed.headers.add(
        "Trefoil-Client", fmt::format("{}.{}.{}.{}", parsed.client >> 24U, (parsed.client >> 16U) & 255U, (parsed.client >> 8U) & 255U, parsed.client & 255U));
    relayed.headers.add("Trefoil-Tenant", parsed.tenant.value());
    relayed.headers.add("Trefoil-Class", parsed.requestClass.value());
    relayed.headers.add("Trefoil-May-Wait", request.mayWait ? "yes" : "no");
    relayed.headers.add("Trefoil-Repeat", request.mayRepeat ? "safe" : "never");
    if (!parsed.key.value().empty()) {
        relayed.headers.add("Idempotency-Key", parsed.key.value());
    }
    return relayed;
}

RequestEnd endOfRelay(CallResult result)
{
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        const std::string detail = fmt::format("relay: {}: {}", toText(failure->kind), failure->message);
        if (failure->anyByteWritten) {
            return OutcomeUnknown{reasonOf(failure->kind), detail};
        }
        return NotRun{reasonOf(failure->kind), detail};
    }
    HttpResponse &response = std::get<HttpResponse>(result);
    const std::string_view outcome = response.headers.value("Trefoil-Outcome");
    const std::string reason(response.headers.value("Trefoil-Reason"));
    if (outcome == "answered") {
        return Answered{std::move(response)};
    }
    if (outcome == "not-run") {
        return NotRun{reason, "relay: refused by the other host", statusOrDefault(response.status, 503)};
    }
    return OutcomeUnknown{reason.empty() ? "outcome-unknown" : reason, "relay: unknown to the other host", statusOrDefault(response.status, 504)};
}

bool isFromPeer(const HttpHeaders &headers, const std::string &secret)
{
    return !secret.empty() && equalInConstantTime(headers.value("Authorization"), "Bearer " + secret);
}

} // namespace Trefoil
