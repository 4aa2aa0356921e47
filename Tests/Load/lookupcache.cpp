#include "lookupcache.h"

#include <nlohmann/json.hpp>

namespace Trefoil::Load
{

namespace
{

namespace Http = boost::beast::http;

constexpr std::chrono::milliseconds lookupLimit{1000};

} // namespace

LookupCache::LookupCache(CallerClient &client, std::vector<std::string> hosts)
    : m_client(client)
    , m_hosts(std::move(hosts))
{
}

std::optional<Lookup> LookupCache::find(
    const std::string &service, const std::string &clientAddress, const std::string &sourceAddress, const boost::asio::yield_context &yield)
{
    const std::string target = "/v1/lookup?service=" + service + "&client=" + clientAddress;
    const auto known = m_known.find(target);
    if (known != m_known.end() && std::chrono::steady_clock::now() < known->second.validUntil) {
        return known->second;
    }
    std::vector<std::string> order = known == m_known.end() ? std::vector<std::string>{} : known->second.hosts;
    order.insert(order.end(), m_hosts.begin(), m_hosts.end());
    for (const auto &host : order) {
        auto lookup = ask(host, target, sourceAddress, yield);
        if (lookup) {
            m_known[target] = *lookup;
            return lookup;
        }
    }
    return std::nullopt;
}

std::uint64_t LookupCache::malformed() const
{
    return m_malformed;
}

std::optional<Lookup> LookupCache::ask(
    const std::string &host, const std::string &target, const std::string &sourceAddress, const boost::asio::yield_context &yield)
{
    HttpRequest request(Http::verb::get, target, 11);
    request.set(Http::field::host, host);
    const auto result = m_client.exchange(host, sourceAddress, request, lookupLimit, yield);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result() != Http::status::ok) {
        return std::nullopt;
    }
    Lookup lookup;
    try {
        const auto document = nlohmann::json::parse(response->body());
        for (const auto &item : document.at("hosts")) {
            lookup.hosts.push_back(item.at("address"));
        }
        lookup.validUntil = std::chrono::steady_clock::now() + std::chrono::milliseconds(document.at("lifetimeMs").get<std::int64_t>());
    } catch (const nlohmann::json::exception &) {
        ++m_malformed;
        return std::nullopt;
    }
    if (lookup.hosts.empty()) {
        return std::nullopt;
    }
    return lookup;
}

} // namespace Trefoil::Load
