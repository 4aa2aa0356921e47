#include <Services/trefoilmountd/forwarding.h>

#include <algorithm>
#include <fmt/format.h>

namespace Trefoil
{

namespace
{

constexpr std::string_view s_ownPrefix = "Trefoil-";
constexpr int s_serviceUnavailable = 503;

bool isEndToEnd(std::string_view name)
{
    if (isSameHeaderName(name.substr(0, s_ownPrefix.size()), s_ownPrefix) || isSameHeaderName(name, "Idempotency-Key")) {
        return false;
    }
    // Each hop sets its own Host header, and credentials of this system are not forwarded.
    return !isConnectionHeader(name) && !isSameHeaderName(name, "Host") && !isSameHeaderName(name, "Authorization");
}

/// Builds the response for each end of a request.
struct Responder
{
    HttpResponse operator()(Answered &end) const
    {
        HttpResponse response;
        response.status = end.response.status;
        copyEndToEndHeaders(end.response.headers, response.headers);
        response.body = std::move(end.response.body);
        response.headers.add("Trefoil-Outcome", "answered");
        return response;
    }

    HttpResponse operator()(NotRun &end) const
    {
        HttpResponse response = errorResponse(end.status, "not-run", "", fmt::format("{}: {}", end.reason, end.detail));
        response.headers.add("Trefoil-Outcome", "not-run");
        response.headers.add("Trefoil-Reason", end.reason);
        return response;
    }

    HttpResponse operator()(OutcomeUnknown &end) const
    {
        HttpResponse response = errorResponse(end.status, end.status == 409 ? "key-running" : "unknown", "", fmt::format("{}: {}", end.reason, end.detail));
        response.headers.add("Trefoil-Outcome", "unknown");
        response.headers.add("Trefoil-Reason", end.reason);
        return response;
    }
};

} // namespace

void copyEndToEndHeaders(const HttpHeaders &from, HttpHeaders &to)
{
    for (const auto &field : from.all()) {
        if (isEndToEnd(field.name)) {
            to.add(field.name, field.value);
        }
    }
}

void addDeadline(HttpRequest &request, BootTime deadline, BootTime now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    request.headers.add("Trefoil-Deadline-Ms", fmt::to_string(std::max<std::int64_t>(left.count(), 1)));
}

std::string reasonOf(CallFailureKind kind)
{
    switch (kind) {
    case CallFailureKind::DeadlineExceeded:
        return "deadline";
    case CallFailureKind::Stalled:
    case CallFailureKind::ConnectTimeout:
        return "timeout";
    case CallFailureKind::WriteRefused:
        return "lease-expired";
    case CallFailureKind::Cancelled:
        return "cancelled";
    default:
        return "upstream-error";
    }
}

HttpRequest makeUpstreamRequest(const ClassifiedRequest &request, const HttpRequest &original)
{
    HttpRequest upstream{request.parsed.method, request.parsed.upstreamTarget, {}, original.body};
    copyEndToEndHeaders(original.headers, upstream.headers);
    upstream.headers.add("Trefoil-Request-Id", request.id.value());
    if (!request.parsed.key.value().empty()) {
        upstream.headers.add("Idempotency-Key", request.parsed.key.value());
    }
    return upstream;
}

RequestEnd endOfCall(CallResult result)
{
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        const std::string detail = fmt::format("{}: {}", toText(failure->kind), failure->message);
        if (failure->anyByteWritten) {
            return OutcomeUnknown{reasonOf(failure->kind), detail};
        }
        return NotRun{reasonOf(failure->kind), detail};
    }
    HttpResponse &response = std::get<HttpResponse>(result);
    if (response.status == s_serviceUnavailable && response.headers.value("Trefoil-Not-Started") == "1") {
        return NotRun{"upstream-refused", "the upstream did not start the request"};
    }
    return Answered{std::move(response)};
}

HttpResponse respond(RequestEnd end, const RequestId &id)
{
    HttpResponse response = std::visit(Responder{}, end);
    response.headers.add("Trefoil-Request-Id", id.value());
    return response;
}

HttpResponse rejectInput(HttpResponse rejection)
{
    rejection.headers.add("Trefoil-Outcome", "not-run");
    rejection.headers.add("Trefoil-Reason", "bad-input");
    return rejection;
}

} // namespace Trefoil
