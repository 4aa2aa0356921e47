#pragma once

#include <LibCore/result.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

/// Stand-in for an upstream of a service. It speaks the upstream interface of the design and can be told to misbehave.
namespace Trefoil
{

struct UpstreamStandInSettings
{
    std::string name = "upstream";
    /// Listening IP:port.
    std::string address = "127.0.0.1:0";
    int slots = 4;
    int connections = 360;
    std::chrono::microseconds serviceTime{1000};
    /// Delay before the first request of a new connection is read.
    std::chrono::microseconds connectCost{1000};
    /// The first requests take coldFactor times the service time.
    int coldRequests = 0;
    int coldFactor = 5;
    std::size_t responseBytes = 64;
};

/// What the upstream saw. A request has begun when its work started; shed requests never begin.
struct UpstreamCounts
{
    std::uint64_t begun = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    /// Refused for lack of a slot, or by the fault of that name.
    std::uint64_t shed = 0;
    /// Refused because the time left was shorter than the service time.
    std::uint64_t refusedForDeadline = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsRefused = 0;
    int openConnections = 0;
    int highestConnections = 0;
    int inFlight = 0;
    int highestConcurrency = 0;
    /// How often work began under each idempotency key.
    std::map<std::string, std::uint64_t> keys;
};

/// One upstream. `POST /control` {"mode", "count", "delayMs"} applies a fault to the next count requests (0: all until
/// the next command); {"loadLagMs"} delays and {"loadLie"} replaces the reported load; `GET /control` returns the counts.
/// Modes: normal, late-answer, swap-answers, cut-header, cut-body-start, cut-body-middle, cut-body-end, cut-chunk,
/// no-length, extra-bytes, silent-after-accept, silent-after-read, silent-in-body, reset-before-read, reset-after-read,
/// fast-errors, shed, draining.
class UpstreamStandIn
{
public:
    /// Binds the address and starts to accept. Precondition: one thread runs context.
    static Result<std::unique_ptr<UpstreamStandIn>> create(boost::asio::io_context &context, UpstreamStandInSettings settings);

    /// Precondition: the context does not run.
    ~UpstreamStandIn();
    UpstreamStandIn(const UpstreamStandIn &) = delete;
    UpstreamStandIn &operator=(const UpstreamStandIn &) = delete;

    /// The listening IP:port. Precondition: none. Thread safety: safe from any thread.
    const std::string &address() const;

    /// Precondition: none. Thread safety: safe from any thread.
    UpstreamCounts counts() const;

    /// Applies a command as for `POST /control`. Precondition: none. Thread safety: safe from any thread.
    Result<void> control(const nlohmann::json &command);

private:
    class State;
    explicit UpstreamStandIn(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

/// The subcommand `upstream`: several upstreams in one process, on consecutive ports.
/// Precondition: argv[0] is the subcommand's name. Returns the exit status.
int runUpstreamStandIn(int argc, const char *const *argv);

} // namespace Trefoil
