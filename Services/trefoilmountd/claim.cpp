#include <Services/trefoilmountd/claim.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace Trefoil
{

namespace
{

HttpResponse toResponse(const StoredResponse &stored)
{
    HttpResponse response;
    response.status = stored.status;
    if (!stored.contentType.empty()) {
        response.headers.add("Content-Type", stored.contentType);
    }
    response.body = stored.body;
    return response;
}

/// Converts the result of claiming a key to the held claim, or to the end of a request that did not get the claim.
struct ClaimResultVisitor
{
    const ClaimKey &key;

    std::variant<HeldClaim, RequestEnd> operator()(const ClaimGranted &granted) const
    {
        return HeldClaim{key, granted.claimId};
    }
    std::variant<HeldClaim, RequestEnd> operator()(const ClaimAnswered &answered) const
    {
        return RequestEnd(Answered{toResponse(answered.response)});
    }
    std::variant<HeldClaim, RequestEnd> operator()(const ClaimRunning &) const
    {
        return RequestEnd(OutcomeUnknown{"key-running", "another attempt with this key is in flight", 409});
    }
    std::variant<HeldClaim, RequestEnd> operator()(const ClaimOutcomeUnknown &) const
    {
        return RequestEnd(OutcomeUnknown{"outcome-unknown", "an earlier attempt with this key has no known outcome"});
    }
    std::variant<HeldClaim, RequestEnd> operator()(const ClaimNotFound &) const
    {
        return RequestEnd(NotRun{"store-unavailable", "the claim was lost"});
    }
    std::variant<HeldClaim, RequestEnd> operator()(const ClaimKeyExpired &) const
    {
        return RequestEnd(OutcomeUnknown{"key-expired", "the key was created more than 24 h ago, or in the future", 410});
    }
    std::variant<HeldClaim, RequestEnd> operator()(const ClaimUnavailable &) const
    {
        return RequestEnd(NotRun{"store-unavailable", "the claim was not confirmed in time"});
    }
};

HttpResponse keyResponse(int status, std::string_view outcome)
{
    return jsonResponse(status, fmt::format(R"({{"outcome":"{}"}})", outcome));
}

/// Builds the response to a key query for each state of the key.
struct KeyStatusResponder
{
    HttpResponse operator()(const ClaimGranted &) const
    {
        return keyResponse(409, "running");
    }
    HttpResponse operator()(const ClaimAnswered &answered) const
    {
        const nlohmann::ordered_json body = {
            {"outcome", "answered"}, {"status", answered.response.status}, {"contentType", answered.response.contentType}, {"body", answered.response.body}};
        return jsonResponse(200, body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
    }
    HttpResponse operator()(const ClaimRunning &) const
    {
        return keyResponse(409, "running");
    }
    HttpResponse operator()(const ClaimOutcomeUnknown &) const
    {
        return keyResponse(504, "unknown");
    }
    HttpResponse operator()(const ClaimNotFound &) const
    {
        return errorResponse(404, "key-not-found", "key", "no request with this key ran in the last 24 h");
    }
    HttpResponse operator()(const ClaimKeyExpired &) const
    {
        return errorResponse(410, "key-expired", "key", "the key was created more than 24 h ago, or in the future");
    }
    HttpResponse operator()(const ClaimUnavailable &) const
    {
        return errorResponse(503, "store-unavailable", "", "the table service did not respond in time");
    }
};

} // namespace

std::variant<HeldClaim, RequestEnd> acquireClaim(const ClaimAccess &access, const ClassifiedRequest &request, const boost::asio::yield_context &yield)
{
    if (!access.claim) {
        return RequestEnd(NotRun{"store-unavailable", "requests that must not repeat need the table service"});
    }
    const ClaimKey key{request.parsed.service, request.parsed.tenant, request.parsed.key};
    return std::visit(ClaimResultVisitor{key}, access.claim(key, request.deadline, yield));
}

void recordClaimOutcome(const ClaimAccess &access, const HeldClaim &claim, const RequestEnd &end)
{
    if (const auto *answered = std::get_if<Answered>(&end)) {
        const HttpResponse &response = answered->response;
        access.recordResponse(claim.key, claim.claimId, {response.status, std::string(response.headers.value("Content-Type")), response.body});
        return;
    }
    if (std::holds_alternative<NotRun>(end)) {
        access.recordNotRun(claim.key, claim.claimId);
    }
}

HttpResponse answerKeyQuery(const ClaimAccess &access, const KeyQuery &query, BootTime deadline, const boost::asio::yield_context &yield)
{
    if (!access.status) {
        return KeyStatusResponder{}(ClaimUnavailable{});
    }
    return std::visit(KeyStatusResponder{}, access.status({query.service, query.tenant, query.key}, deadline, yield));
}

} // namespace Trefoil
