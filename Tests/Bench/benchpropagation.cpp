#include <LibCore/bootclock.h>
#include <LibPeer/peernetwork.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <map>
#include <numeric>
#include <optional>
#include <pcg_random.hpp>
#include <random>
#include <set>

/// Time from the commit of a version until it is in force at the hosts, and bytes per host, over real links on loopback.
/// Compares ways of propagation at several sizes and rates of message loss. One thread runs all hosts.
namespace
{

using namespace Trefoil;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr int s_regions = 3;
constexpr std::size_t s_hostsPerZone = 5;
constexpr std::size_t s_guardians = 5;
constexpr std::size_t s_gossipTargets = 3;
constexpr std::chrono::milliseconds s_heartbeatInterval{500};
constexpr std::chrono::milliseconds s_resendAfter{500};
constexpr std::chrono::milliseconds s_fetchInterval{250};
constexpr std::chrono::milliseconds s_regionDelay{12};
constexpr std::chrono::milliseconds s_window{3000};
/// JSON text of a configuration with three services and 38 upstreams.
constexpr std::size_t s_documentBytes = 8000;
const std::string s_digest(32, 'd');

enum class Propagation {
    /// Push to one host of each availability zone, which forwards; digests in heartbeats repair.
    Tree,
    /// Digests in heartbeats only.
    Digests,
    /// Each host that learns of a version tells three random hosts; digests repair.
    Gossip,
};

struct Figures
{
    std::vector<double> inForceMs;
    std::uint64_t late = 0;
    double idleBytesPerHost = 0;
    double changeBytesPerHost = 0;
};

class Bench;

class BenchHost
{
public:
    BenchHost(Bench &bench, std::size_t index);

    void start();
    /// Puts a version in force and, at the committing host, starts its propagation.
    void commit(ConfigurationVersion version);
    std::uint64_t bytes() const
    {
        return m_network->bytesSent() + m_network->bytesReceived();
    }

    HostId id;
    std::size_t region = 0;
    std::size_t zone = 0;
    std::string address;
    ConfigurationVersion version{1};

private:
    void receive(const HostId &from, const PeerMessage &message);
    void send(const HostId &to, const PeerMessage &message);
    void enforce(ConfigurationVersion next);
    void learnOf(const HostId &from, ConfigurationVersion next);
    void pushTree(std::size_t attempt);
    void gossip();
    void heartbeat();

    Bench &m_bench;
    std::unique_ptr<PeerNetwork> m_network;
    boost::asio::steady_timer m_heartbeatTimer;
    boost::asio::steady_timer m_pushTimer;
    std::vector<HostId> m_guardians;
    std::set<HostId> m_confirmed;
    std::optional<BootTime> m_lastFetch;
    std::uint64_t m_sequence = 0;
};

class Bench
{
public:
    Bench(std::size_t size, Propagation wayOfPropagation, double lossRate)
        : propagation(wayOfPropagation)
        , loss(lossRate)
        , random(20261204)
    {
        for (std::size_t i = 0; i < size; ++i) {
            hosts.push_back(std::make_unique<BenchHost>(*this, i));
            byId[hosts.back()->id] = hosts.back().get();
        }
        for (const auto &host : hosts) {
            host->start();
        }
    }

    Figures run(int commits)
    {
        Figures figures;
        context.run_for(2s);
        figures.idleBytesPerHost = bytesDuring([] {});
        for (int i = 0; i < commits; ++i) {
            measure(figures);
        }
        figures.changeBytesPerHost = figures.changeBytesPerHost / commits - figures.idleBytesPerHost;
        return figures;
    }

    bool isLost()
    {
        return std::uniform_real_distribution<double>(0, 1)(random) < loss;
    }

    void inForce()
    {
        m_inForceMs.push_back(std::chrono::duration<double, std::milli>(BootClock::now() - m_committedAt).count());
    }

    Propagation propagation;
    double loss;
    pcg32 random;
    boost::asio::io_context context;
    std::vector<std::unique_ptr<BenchHost>> hosts;
    std::map<HostId, BenchHost *> byId;

private:
    template<typename Start>
    double bytesDuring(Start start)
    {
        const auto total = [this] {
            return std::accumulate(hosts.begin(), hosts.end(), std::uint64_t{0}, [](std::uint64_t sum, const auto &host) { return sum + host->bytes(); });
        };
        const std::uint64_t before = total();
        start();
        context.run_for(s_window);
        return static_cast<double>(total() - before) / static_cast<double>(hosts.size());
    }

    void measure(Figures &figures)
    {
        m_inForceMs.clear();
        const std::size_t committing = random(static_cast<std::uint32_t>(hosts.size()));
        const ConfigurationVersion next(++m_version);
        figures.changeBytesPerHost += bytesDuring([&] {
            m_committedAt = BootClock::now();
            hosts[committing]->commit(next);
        });
        figures.late += hosts.size() - m_inForceMs.size();
        figures.inForceMs.insert(figures.inForceMs.end(), m_inForceMs.begin(), m_inForceMs.end());
    }

    std::uint64_t m_version = 1;
    BootTime m_committedAt;
    std::vector<double> m_inForceMs;
};

std::string freeAddress(boost::asio::io_context &context)
{
    const tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

BenchHost::BenchHost(Bench &bench, std::size_t index)
    : id(fmt::format("host-{}", index))
    , region(index % s_regions)
    , zone(index / s_regions / s_hostsPerZone * s_regions + index % s_regions)
    , address(freeAddress(bench.context))
    , m_bench(bench)
    , m_heartbeatTimer(bench.context)
    , m_pushTimer(bench.context)
{
    auto result = PeerNetwork::create(
        bench.context, {id, Incarnation(1), address, "127.0.0.1", "benchmark-secret"}, [this](const HostId &from, const PeerMessage &message) {
            const bool isNear = m_bench.byId.at(from)->region == region;
            auto timer = std::make_shared<boost::asio::steady_timer>(m_bench.context, isNear ? 0ms : s_regionDelay);
            timer->async_wait([this, timer, from, message](const boost::system::error_code & /*error*/) { receive(from, message); });
        });
    if (result.has_error()) {
        fmt::print(stderr, "{}\n", result.error().message);
        std::exit(1);
    }
    m_network = std::move(result.value());
}

void BenchHost::start()
{
    std::vector<PeerEndpoint> peers;
    std::vector<HostId> near;
    std::vector<HostId> far;
    for (const auto &host : m_bench.hosts) {
        peers.push_back({host->id, host->address});
        if (host->id != id) {
            (host->region == region ? near : far).push_back(host->id);
        }
    }
    m_network->setPeers(peers);
    std::shuffle(near.begin(), near.end(), m_bench.random);
    std::shuffle(far.begin(), far.end(), m_bench.random);
    // Three guardians in the region and two outside, as membership chooses them.
    near.resize(std::min<std::size_t>(near.size(), 3));
    m_guardians = near;
    far.resize(std::min(far.size(), s_guardians - m_guardians.size()));
    m_guardians.insert(m_guardians.end(), far.begin(), far.end());
    m_heartbeatTimer.expires_after(std::chrono::milliseconds(m_bench.random(static_cast<std::uint32_t>(s_heartbeatInterval.count()))));
    m_heartbeatTimer.async_wait([this](const boost::system::error_code & /*error*/) { heartbeat(); });
}

void BenchHost::heartbeat()
{
    for (const auto &guardian : m_guardians) {
        send(guardian, Heartbeat{++m_sequence, Incarnation(1), Epoch(1), version, SlotCount(1), false});
    }
    m_heartbeatTimer.expires_after(s_heartbeatInterval);
    m_heartbeatTimer.async_wait([this](const boost::system::error_code & /*error*/) { heartbeat(); });
}

void BenchHost::send(const HostId &to, const PeerMessage &message)
{
    if (!m_bench.isLost()) {
        m_network->send(to, message);
    }
}

void BenchHost::commit(ConfigurationVersion next)
{
    enforce(next);
    if (m_bench.propagation == Propagation::Tree) {
        m_confirmed = {id};
        pushTree(0);
    }
}

void BenchHost::enforce(ConfigurationVersion next)
{
    if (next <= version) {
        return;
    }
    version = next;
    m_bench.inForce();
    if (m_bench.propagation == Propagation::Gossip) {
        gossip();
    }
}

void BenchHost::gossip()
{
    for (std::size_t i = 0; i < s_gossipTargets; ++i) {
        const auto &target = m_bench.hosts[m_bench.random(static_cast<std::uint32_t>(m_bench.hosts.size()))];
        send(target->id, Commit{version, s_digest, {}});
    }
}

void BenchHost::pushTree(std::size_t attempt)
{
    std::map<std::size_t, std::vector<HostId>> zones;
    std::set<std::size_t> confirmedZones;
    for (const auto &host : m_bench.hosts) {
        zones[host->zone].push_back(host->id);
        if (m_confirmed.count(host->id) != 0 && host->id != id) {
            confirmedZones.insert(host->zone);
        }
    }
    for (auto &[zoneIndex, members] : zones) {
        members.erase(std::remove(members.begin(), members.end(), id), members.end());
        if (members.empty() || confirmedZones.count(zoneIndex) != 0) {
            continue;
        }
        if (zoneIndex == zone) {
            for (const auto &member : members) {
                send(member, Commit{version, s_digest, {}});
            }
            continue;
        }
        std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(attempt % members.size()), members.end());
        send(members.front(), Commit{version, s_digest, {members.begin() + 1, members.end()}});
    }
    if (attempt < 5) {
        m_pushTimer.expires_after(s_resendAfter);
        m_pushTimer.async_wait([this, attempt](const boost::system::error_code &error) {
            if (!error) {
                pushTree(attempt + 1);
            }
        });
    }
}

void BenchHost::learnOf(const HostId &from, ConfigurationVersion next)
{
    const BootTime now = BootClock::now();
    if (next <= version || (m_lastFetch && now - *m_lastFetch < s_fetchInterval)) {
        return;
    }
    m_lastFetch = now;
    send(from, FetchConfiguration{version});
}

void BenchHost::receive(const HostId &from, const PeerMessage &message)
{
    if (const auto *beat = std::get_if<Heartbeat>(&message)) {
        learnOf(from, beat->configuration);
        send(from, HeartbeatAck{beat->sequence, Epoch(1), version, true});
    } else if (const auto *ack = std::get_if<HeartbeatAck>(&message)) {
        learnOf(from, ack->configuration);
    } else if (const auto *pushed = std::get_if<Commit>(&message)) {
        for (const auto &host : pushed->forwardTo) {
            send(host, Commit{pushed->version, pushed->digest, {}});
        }
        enforce(pushed->version);
        if (m_bench.propagation == Propagation::Tree) {
            send(from, CommitAck{version});
        }
    } else if (const auto *confirmed = std::get_if<CommitAck>(&message)) {
        if (confirmed->version == version) {
            m_confirmed.insert(from);
        }
    } else if (const auto *fetch = std::get_if<FetchConfiguration>(&message)) {
        if (version > fetch->newerThan) {
            send(from, ConfigurationCopy{version, s_digest, std::string(s_documentBytes, ' ')});
        }
    } else if (const auto *copy = std::get_if<ConfigurationCopy>(&message)) {
        enforce(copy->version);
    }
}

double quantile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

void report(const char *name, std::size_t size, Propagation propagation, double loss, int commits)
{
    Bench bench(size, propagation, loss);
    Figures figures = bench.run(commits);
    fmt::print("{:>5}  {:<8}  {:>4.0f}%  {:>9.1f}  {:>9.1f}  {:>9.1f}  {:>5}  {:>10.0f}  {:>12.0f}\n",
        size,
        name,
        loss * 100,
        quantile(figures.inForceMs, 0.5),
        quantile(figures.inForceMs, 0.99),
        quantile(figures.inForceMs, 1),
        figures.late,
        figures.changeBytesPerHost,
        figures.idleBytesPerHost / std::chrono::duration<double>(s_window).count());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const int commits = argc > 1 ? std::max(1, std::atoi(argv[1])) : 3;
    fmt::print("{:>5}  {:<8}  {:>5}  {:>9}  {:>9}  {:>9}  {:>5}  {:>10}  {:>12}\n",
        "hosts",
        "way",
        "loss",
        "p50 ms",
        "p99 ms",
        "max ms",
        "late",
        "B/change",
        "idle B/s");
    for (const std::size_t size : {12, 50, 150}) {
        for (const double loss : {0.0, 0.02, 0.05}) {
            report("tree", size, Propagation::Tree, loss, commits);
            report("digests", size, Propagation::Digests, loss, commits);
            report("gossip", size, Propagation::Gossip, loss, commits);
        }
    }
    return 0;
}
