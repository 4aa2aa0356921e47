#include "administrationclient.h"

#include <fmt/format.h>

namespace Trefoil
{

using nlohmann::json;

AdministrationClient::AdministrationClient(boost::asio::io_context &context, const ToolSettings &settings)
    : m_settings(settings)
{
    for (const auto &address : settings.hosts) {
        m_hosts.push_back({address, std::make_unique<JsonClient>(context, JsonClientSettings{address, settings.sourceAddress, "Bearer " + settings.secret})});
    }
}

AdministrationResult AdministrationClient::send(const std::string &text, bool hasChange, const boost::asio::yield_context &yield)
{
    json body = {{"text", text}, {"dryRun", m_settings.dryRun}, {"author", m_settings.author.empty() ? "operator" : m_settings.author}};
    if (m_settings.baseVersion) {
        body["baseVersion"] = *m_settings.baseVersion;
    }
    const JsonRequest request{"POST", "/v1/commands", body.dump(-1, ' ', false, json::error_handler_t::replace)};
    std::string failures;
    for (auto &host : m_hosts) {
        const JsonResult result = host.client->request(request, BootClock::now() + m_settings.timeout, yield);
        if (const auto *response = std::get_if<JsonResponse>(&result)) {
            return AdministrationResponse{response->status, response->json()};
        }
        const auto *ambiguous = std::get_if<RequestAmbiguous>(&result);
        const std::string reason = ambiguous != nullptr ? ambiguous->reason : std::get<RequestNotSent>(result).reason;
        if (ambiguous != nullptr && hasChange && !m_settings.dryRun) {
            return ChangeOutcomeUnknown{fmt::format("{}: {}; the change may have been made, look with \"show configuration\"", host.address, reason)};
        }
        failures += fmt::format("{}{}: {}", failures.empty() ? "" : "; ", host.address, reason);
    }
    return NoHostReachable{failures};
}

AdministrationResult sendAndWait(const ToolSettings &settings, const std::string &text, bool hasChange)
{
    boost::asio::io_context context;
    AdministrationClient client(context, settings);
    AdministrationResult result = NoHostReachable{};
    boost::asio::spawn(context, [&](const boost::asio::yield_context &yield) { result = client.send(text, hasChange, yield); });
    context.run();
    return result;
}

} // namespace Trefoil
