#include <LibIdempotency/claimrow.h>

#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace Trefoil
{

using nlohmann::json;

namespace
{

std::int64_t toMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

json responseToJson(const StoredResponse &response)
{
    // Bodies are bytes and JSON strings are not, so that bodies are stored in hexadecimal.
    std::string body;
    boost::algorithm::hex_lower(response.body, std::back_inserter(body));
    return {{"status", response.status}, {"contentType", response.contentType}, {"bodyHex", std::move(body)}};
}

std::optional<StoredResponse> responseFromJson(const json &value)
{
    StoredResponse response;
    response.status = value.value("status", 0);
    response.contentType = value.value("contentType", "");
    boost::algorithm::unhex(value.value("bodyHex", ""), std::back_inserter(response.body));
    if (response.status < 100 || response.status > 599) {
        return std::nullopt;
    }
    return response;
}

} // namespace

json toJson(const ClaimRow &row)
{
    json value = {{"claim", row.claimId}, {"deadlineMs", toMilliseconds(row.deadline)}};
    if (row.response) {
        value["response"] = responseToJson(*row.response);
    }
    if (row.responseTooLarge) {
        value["responseTooLarge"] = true;
    }
    return value;
}

std::optional<ClaimRow> claimRowFromJson(const json &value)
{
    try {
        ClaimRow row;
        row.claimId = value.at("claim").get<std::string>();
        row.deadline = WallTime(std::chrono::milliseconds(value.at("deadlineMs").get<std::int64_t>()));
        row.responseTooLarge = value.value("responseTooLarge", false);
        if (value.contains("response")) {
            row.response = responseFromJson(value["response"]);
            if (!row.response) {
                return std::nullopt;
            }
        }
        return row;
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const boost::algorithm::hex_decode_error &) {
        return std::nullopt;
    }
}

ClaimResult interpretClaim(const json &value, const std::string &ownClaimId, WallTime now)
{
    const auto row = claimRowFromJson(value);
    if (!row) {
        return ClaimOutcomeUnknown{};
    }
    if (row->response) {
        return ClaimAnswered{*row->response};
    }
    if (row->responseTooLarge) {
        return ClaimOutcomeUnknown{};
    }
    if (row->claimId == ownClaimId) {
        return ClaimGranted{ownClaimId};
    }
    if (now < row->deadline) {
        return ClaimRunning{};
    }
    return ClaimOutcomeUnknown{};
}

} // namespace Trefoil
