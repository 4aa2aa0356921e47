#pragma once

#include <LibCore/result.h>
#include <LibGateway/hostdirectory.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <optional>

namespace Trefoil
{

/// What a host tells another one by a datagram, in CBOR.
struct Beacon
{
    HostId from;
    HostPhase phase = HostPhase::Serving;
    /// The host's calls to the store are answered.
    bool isStoreReachable = false;
    /// The sender wants a beacon back.
    bool isReplyRequested = false;
};

/// Precondition: none. Thread safety: safe from any thread.
std::string encodeBeacon(const Beacon &beacon);

/// Nothing for bytes of another form. Precondition: none. Thread safety: safe from any thread.
std::optional<Beacon> decodeBeacon(std::string_view bytes);

/// Sends and receives beacons. A datagram that is lost is made good by the next one.
/// Thread safety: all calls on the thread that runs the context.
class BeaconSocket
{
public:
    /// Binds the address and starts to receive. Precondition: context and directory outlive the socket.
    static Result<std::unique_ptr<BeaconSocket>> create(boost::asio::io_context &context, const std::string &address, HostId self, HostDirectory &directory);

    /// Sends a beacon to all hosts that are to hear one now. Precondition: none.
    void sendAll(HostPhase phase, bool isStoreReachable);

    /// Asks hosts for a beacon, each at most every 100 ms. Precondition: none.
    void requestBeacons(const std::vector<HostRegistration> &hosts);

    /// Address at which beacons are received, IP:port. Precondition: none.
    std::string address() const;

private:
    BeaconSocket(boost::asio::io_context &context, HostId self, HostDirectory &directory);
    void receive();
    void sendTo(const HostRegistration &host, const std::string &bytes);
    void send(const std::string &bytes, const boost::asio::ip::udp::endpoint &to);

    boost::asio::ip::udp::socket m_socket;
    HostId m_self;
    HostDirectory &m_directory;
    std::array<char, 512> m_buffer{};
    boost::asio::ip::udp::endpoint m_sender;
    HostPhase m_phase = HostPhase::Starting;
    bool m_isStoreReachable = false;
    std::map<HostId, BootTime> m_requestedAt;
};

} // namespace Trefoil
