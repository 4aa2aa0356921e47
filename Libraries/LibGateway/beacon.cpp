#include <LibGateway/beacon.h>

#include <LibHttp/endpoint.h>
#include <LibTelemetry/log.h>

#include <boost/asio/buffer.hpp>
#include <nlohmann/json.hpp>

namespace Trefoil
{

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace
{

/// Several requests fit into HostDirectorySettings::replyTimeout, so that one lost datagram doesn't make a host count as
/// unresponsive.
constexpr std::chrono::milliseconds s_requestInterval{100};

} // namespace

std::string encodeBeacon(const Beacon &beacon)
{
    const auto bytes = nlohmann::json::to_cbor({{"from", beacon.from.value()},
        {"phase", static_cast<unsigned>(beacon.phase)},
        {"store", beacon.isStoreReachable},
        {"reply", beacon.isReplyRequested}});
    return {bytes.begin(), bytes.end()};
}

std::optional<Beacon> decodeBeacon(std::string_view bytes)
{
    try {
        // Declared sizes that exceed the memory throw even with exceptions off; other errors only discard the document.
        const auto document = nlohmann::json::from_cbor(bytes, true, false);
        if (document.is_discarded() || !document.is_object()) {
            return std::nullopt;
        }
        const auto phase = document.at("phase").get<unsigned>();
        if (phase > static_cast<unsigned>(HostPhase::Stopping)) {
            return std::nullopt;
        }
        return Beacon{
            HostId(document.at("from").get<std::string>()), static_cast<HostPhase>(phase), document.at("store").get<bool>(), document.at("reply").get<bool>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

BeaconSocket::BeaconSocket(asio::io_context &context, HostId self, HostDirectory &directory)
    : m_socket(context)
    , m_self(std::move(self))
    , m_directory(directory)
{
}

Result<std::unique_ptr<BeaconSocket>> BeaconSocket::create(asio::io_context &context, const std::string &address, HostId self, HostDirectory &directory)
{
    const auto endpoint = parseEndpoint(address);
    if (endpoint.has_error()) {
        return endpoint.error();
    }
    std::unique_ptr<BeaconSocket> beacons(new BeaconSocket(context, std::move(self), directory));
    boost::system::error_code error;
    beacons->m_socket.open(udp::v4(), error);
    if (!error) {
        beacons->m_socket.bind(udp::endpoint(endpoint.value().address(), endpoint.value().port()), error);
    }
    if (!error) {
        beacons->m_socket.non_blocking(true, error);
    }
    if (error) {
        return Error{ErrorCode::Unavailable, "cannot receive beacons on " + address + ": " + error.message()};
    }
    beacons->receive();
    return beacons;
}

void BeaconSocket::sendAll(HostPhase phase, bool isStoreReachable)
{
    m_phase = phase;
    m_isStoreReachable = isStoreReachable;
    const std::string request = encodeBeacon({m_self, phase, isStoreReachable, true});
    const std::string announcement = encodeBeacon({m_self, phase, isStoreReachable, false});
    const BootTime now = BootClock::now();
    for (const BeaconTarget &target : m_directory.beaconTargets(now)) {
        if (target.isReplyRequested) {
            m_directory.recordBeaconRequest(target.registration.id, now);
        }
        sendTo(target.registration, target.isReplyRequested ? request : announcement);
    }
}

void BeaconSocket::requestBeacons(const std::vector<HostRegistration> &hosts)
{
    const BootTime now = BootClock::now();
    for (auto it = m_requestedAt.begin(); it != m_requestedAt.end();) {
        it = now - it->second < s_requestInterval ? std::next(it) : m_requestedAt.erase(it);
    }
    const std::string request = encodeBeacon({m_self, m_phase, m_isStoreReachable, true});
    for (const HostRegistration &host : hosts) {
        if (!m_requestedAt.emplace(host.id, now).second) {
            continue;
        }
        m_directory.recordBeaconRequest(host.id, now);
        sendTo(host, request);
    }
}

std::string BeaconSocket::address() const
{
    boost::system::error_code error;
    const udp::endpoint endpoint = m_socket.local_endpoint(error);
    return error ? std::string() : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void BeaconSocket::sendDatagram(const HostId &to, const std::string &bytes)
{
    if (const auto host = m_directory.registration(to)) {
        sendTo(*host, bytes);
    }
}

void BeaconSocket::sendTo(const HostRegistration &host, const std::string &bytes)
{
    const auto endpoint = parseEndpoint(host.peerAddress);
    if (endpoint.has_error()) {
        writeLog(LogLevel::Warning, "peer-address-unreadable", {{"peer", host.id.value()}, {"address", host.peerAddress}});
        return;
    }
    send(host.id, bytes, udp::endpoint(endpoint.value().address(), endpoint.value().port()));
}

void BeaconSocket::send(const HostId &host, const std::string &bytes, const udp::endpoint &to)
{
    if (!transmit(bytes, to)) {
        return;
    }
    if (const auto relation = m_directory.relationTo(host)) {
        m_traffic.add(TrafficPurpose::Beacon, *relation, bytes.size());
    }
}

bool BeaconSocket::transmit(const std::string &bytes, const udp::endpoint &to)
{
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(bytes), to, 0, error);
    if (error) {
        writeLog(LogLevel::Warning, "beacon-not-sent", {{"to", to.address().to_string()}, {"reason", error.message()}});
    }
    return !error;
}

void BeaconSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        const std::string_view bytes(m_buffer.data(), error ? 0 : size);
        const auto beacon = decodeBeacon(bytes);
        if (beacon) {
            m_directory.recordBeacon(beacon->from, beacon->phase, beacon->isStoreReachable, BootClock::now());
            if (beacon->isReplyRequested) {
                send(beacon->from, encodeBeacon({m_self, m_phase, m_isStoreReachable, false}), m_sender);
            }
        } else if (m_datagramHandler && !bytes.empty()) {
            if (const auto reply = m_datagramHandler(bytes)) {
                transmit(*reply, m_sender);
            }
        }
        receive();
    });
}

} // namespace Trefoil
