#pragma once

#include <LibCore/result.h>
#include <LibGateway/hostdirectory.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace Trefoil
{

/// Liveness message between hosts: one datagram, encoded as CBOR.
struct Beacon
{
    HostId from;
    HostPhase phase = HostPhase::Serving;
    /// Whether the sender's calls to the store succeed.
    bool isStoreReachable = false;
    /// Whether the sender requests a beacon in reply.
    bool isReplyRequested = false;
};

/// Encodes a beacon as CBOR. Precondition: none. Thread safety: safe from any thread.
std::string encodeBeacon(const Beacon &beacon);

/// Decodes a datagram; nothing when it is not a valid beacon. Precondition: none. Thread safety: safe from any thread.
std::optional<Beacon> decodeBeacon(std::string_view bytes);

/// Sends and receives beacons. Lost datagrams are not resent: the next beacon replaces them.
/// Thread safety: all calls on the thread that runs the context.
class BeaconSocket
{
public:
    /// Binds the address and starts receiving. Precondition: context and directory outlive the socket.
    static Result<std::unique_ptr<BeaconSocket>> create(boost::asio::io_context &context, const std::string &address, HostId self, HostDirectory &directory);

    /// Sends a beacon to all current beacon targets of the directory. Precondition: none.
    void sendAll(HostPhase phase, bool isStoreReachable);

    /// Requests beacons from the hosts, from each of them at most every 100 ms. Precondition: none.
    void requestBeacons(const std::vector<HostRegistration> &hosts);

    /// Bytes of the beacons and requests for permits that were sent to registered hosts. Precondition: none.
    const TrafficBytes &traffic() const
    {
        return m_traffic;
    }

    /// Handles datagrams that are not beacons; may return a reply for the sender.
    using DatagramHandler = std::function<std::optional<std::string>(std::string_view bytes)>;

    /// Without a handler datagrams that are not beacons are ignored. Precondition: none.
    void setDatagramHandler(DatagramHandler handler)
    {
        m_datagramHandler = std::move(handler);
    }

    /// Sends a datagram to a registered host; to others nothing is sent. Precondition: the datagram has at most 512 bytes.
    void sendDatagram(const HostId &to, const std::string &bytes);

    /// Local address at which beacons are received, IP:port. Precondition: none.
    std::string address() const;

private:
    BeaconSocket(boost::asio::io_context &context, HostId self, HostDirectory &directory);
    void receive();
    void sendTo(const HostRegistration &host, const std::string &bytes);
    /// Sends a datagram and counts it by where the host is.
    void send(const HostId &host, const std::string &bytes, const boost::asio::ip::udp::endpoint &to);
    bool transmit(const std::string &bytes, const boost::asio::ip::udp::endpoint &to);

    boost::asio::ip::udp::socket m_socket;
    HostId m_self;
    HostDirectory &m_directory;
    DatagramHandler m_datagramHandler;
    std::array<char, 512> m_buffer{};
    boost::asio::ip::udp::endpoint m_sender;
    HostPhase m_phase = HostPhase::Starting;
    bool m_isStoreReachable = false;
    std::map<HostId, BootTime> m_requestedAt;
    TrafficBytes m_traffic;
};

} // namespace Trefoil
