#pragma once

#include "host.h"
#include "store.h"
#include "upstream.h"

#include <functional>

namespace Trefoil::Review
{

/// Exit status of a case: the rule held, it was broken, or the case couldn't run.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// What a registration of an upstream says beside its place.
struct RegistrationState
{
    std::string state = "ready";
    int reportNumber = 1;
    /// Start of the process in Unix milliseconds.
    std::int64_t startedAt = 0;
};

/// A small deployment on loopback addresses: two hosts in two zones of a region, the store, one service, and two routes to it: `/read/` may be
/// repeated, `/order/` may not. Thread safety: safe from any thread, except for the hosts.
class Deployment
{
public:
    /// Precondition: the record lives until the process ends.
    explicit Deployment(Record &record);

    /// Adds an upstream that isn't registered yet. Precondition: none.
    Upstream &addUpstream(const std::string &id, milliseconds work);

    /// Registers an upstream, as it does itself. Precondition: it was added here.
    void registerUpstream(const Upstream &upstream, const RegistrationState &state);

    /// Registers all upstreams, writes the configuration and starts the hosts. False when they don't get ready. Precondition: none.
    bool start();

    /// Kills the hosts and removes their files. Precondition: none.
    void endHosts();

    Host &host()
    {
        return m_first;
    }
    Store &store()
    {
        return m_store;
    }
    Record &record()
    {
        return m_record;
    }

    /// Milliseconds since 1970 of the time of day. Precondition: none.
    static std::int64_t unixMilliseconds();

private:
    std::string ip(int last) const;

    Record &m_record;
    std::string m_folder;
    Store m_store;
    Host m_first;
    Host m_second;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
};

/// Runs a case: its argument is the folder for the record, and the environment's TROUBLE=0 leaves the disruption out. Ends the process with
/// the verdict. Precondition: called once, from main().
[[noreturn]] void runCase(int argumentCount, char **arguments, const std::function<Verdict(Deployment &deployment, bool hasTrouble)> &play);

} // namespace Trefoil::Review
