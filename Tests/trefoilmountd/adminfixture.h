#pragma once

#include "configurationcluster.h"
#include <Services/trefoilmountd/adminserver.h>

namespace Trefoil
{

inline const char *const s_secret = "administration-secret";

/// A configuration cluster with an administration server on its first host.
struct AdminFixture
{
    AdminFixture()
    {
        AdminServerSources sources;
        sources.metrics = [] { return std::string("trefoil_up 1\n"); };
        sources.status = [] { return nlohmann::json{{"host", "gulf-a"}}; };
        sources.queries.why = [](const WhyCommand &query) { return nlohmann::json::array({{{"tenant", query.entity.name.text}, {"reason", "home region"}}}); };
        auto result = AdminServer::create(cluster.context, {"127.0.0.1:0", s_secret}, *cluster.hosts[0]->service, cluster.hosts[0]->state, sources);
        cr_assert(result.has_value());
        server = std::move(result.value());
    }

    JsonResponse request(const std::string &method, const std::string &target, const std::string &body, const std::string &authorization)
    {
        std::optional<JsonResult> result;
        boost::asio::spawn(cluster.context, [&](const boost::asio::yield_context &yield) {
            JsonClient client(cluster.context, {server->address(), "127.0.0.1", authorization});
            result = client.request({method, target, body}, BootClock::now() + std::chrono::seconds(12), yield);
        });
        cr_assert(cluster.runUntil([&] { return result.has_value(); }, 15000));
        cr_assert(std::holds_alternative<JsonResponse>(*result), "%s %s had no response", method.c_str(), target.c_str());
        return std::get<JsonResponse>(*result);
    }

    JsonResponse commands(const nlohmann::json &body)
    {
        return request("POST", "/v1/commands", body.dump(), std::string("Bearer ") + s_secret);
    }

    ConfigurationCluster cluster;
    std::unique_ptr<AdminServer> server;
};

} // namespace Trefoil
