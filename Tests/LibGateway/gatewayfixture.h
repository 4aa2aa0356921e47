#pragma once

#include <LibGateway/gateway.h>
#include <LibHttp/cancellation.h>
#include <StandIns/upstream.h>

#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A gateway without the platform, for tests of the request path.
namespace Trefoil::GatewayTests
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// The connection of a caller that stays until the test requests its cancellation.
class TestCaller final : public CallerConnection
{
public:
    const std::string &address() const override
    {
        return m_address;
    }
    Cancellation &cancellation() override
    {
        return m_cancellation;
    }
    BootTime headerReadAt() const override
    {
        return BootClock::now() - uploadTime;
    }

    /// Time from the header of a request to its last byte.
    std::chrono::milliseconds uploadTime{0};

private:
    std::string m_address = "127.0.0.1";
    Cancellation m_cancellation;
};

/// A gateway with upstreams of one service, all in the zone of the host.
struct GatewayFixture
{
    explicit GatewayFixture(int upstreamCount, std::chrono::microseconds serviceTime = 1000us, GatewaySettings gatewaySettings = {})
        : state(settings())
        , gateway(context, std::move(gatewaySettings), state, metrics)
    {
        state.setConfiguration(configuration());
        state.directory().setSelf({HostId("self"), "a:1", "a:2", ZoneId("zone"), RegionId("region"), 1}, HostPhase::Serving);
        for (int i = 0; i < upstreamCount; ++i) {
            UpstreamStandInSettings standIn;
            standIn.serviceTime = serviceTime;
            upstreams.push_back(std::move(UpstreamStandIn::create(context, standIn).value()));
            UpstreamRegistration registration;
            registration.id = UpstreamId("u" + std::to_string(i));
            registration.service = ServiceId("service");
            registration.address = upstreams.back()->address();
            registration.zone = ZoneId("zone");
            registration.slots = SlotCount(4);
            state.upstreamStarted(registration, BootClock::now());
        }
    }

    static GatewayStateSettings settings()
    {
        GatewayStateSettings result;
        result.host = HostId("self");
        result.placement.zone = ZoneId("zone");
        result.placement.region = RegionId("region");
        result.regions = {{ZoneId("zone"), RegionId("region")}, {ZoneId("far zone"), RegionId("far")}};
        result.retries = {0.2, 10, 10000ms};
        return result;
    }

    static RoutingConfiguration configuration()
    {
        Route read;
        read.id = RouteId("read");
        read.host = "a.example";
        read.prefix = "/read/";
        read.kind = RequestKind::Idempotent;
        read.timeout = 600ms;
        read.targetLatency = 500ms;
        read.maximumAttempts = 2;
        read.services = {{ServiceId("service"), 1}};
        Route write = read;
        write.id = RouteId("write");
        write.prefix = "/write/";
        write.kind = RequestKind::NonIdempotent;
        return {ConfigurationVersion(1), {read, write}, {}, {}};
    }

    HttpResponse send(const std::string &target, const asio::yield_context &yield, const std::string &deadline = "500")
    {
        HttpRequest request{"POST", target, {}, "two casts"};
        request.headers.add("Host", "a.example");
        request.headers.add("Trefoil-Request-Id", "id-" + std::to_string(++sent));
        request.headers.add("Trefoil-Deadline-Ms", deadline);
        return gateway.handle(request, caller, yield);
    }

    void run(const std::function<void(const asio::yield_context &yield)> &body)
    {
        asio::spawn(context, [this, &body](const asio::yield_context &yield) {
            body(yield);
            context.stop();
        });
        context.run();
    }

    std::uint64_t begun() const
    {
        std::uint64_t count = 0;
        for (const auto &upstream : upstreams) {
            count += upstream->counts().begun;
        }
        return count;
    }

    asio::io_context context{1};
    const SnapshotReaderThread reader;
    GatewayState state;
    GatewayMetrics metrics;
    Gateway gateway;
    TestCaller caller;
    std::vector<std::unique_ptr<UpstreamStandIn>> upstreams;
    int sent = 0;
};

} // namespace Trefoil::GatewayTests
