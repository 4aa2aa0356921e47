#include "deployment.h"

#include <cstdio>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <stdexcept>
#include <unistd.h>

namespace Trefoil::Review
{

using Json = nlohmann::json;

namespace
{

constexpr int s_storePlace = 1;
constexpr int s_firstHostPlace = 11;
constexpr int s_secondHostPlace = 12;
constexpr int s_upstreamPlace = 100;

std::string temporaryFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(path.data())) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    return path;
}

Json route(const std::string &name, const std::string &kind)
{
    return {{"name", name},
        {"host", "desk.example"},
        {"prefix", "/" + name + "/"},
        {"kind", kind},
        {"timeout", "20s"},
        {"target_latency", "2s"},
        {"priority", 1},
        {"service", "desk"},
        {"max_attempts", 2},
        {"session_affinity", false},
        {"allowed_regions", Json::array()}};
}

Json configuration()
{
    const Json service = {
        {"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 360}, {"protocol", "h1"}, {"tls", false}, {"cold_start", "3s"}, {"cold_per_s", 3.2}};
    return {{"version", "r7"},
        {"routes", {route("read", "safe"), route("order", "unsafe")}},
        {"services", Json::array({service})},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout", "3000ms"}, {"idle_timeout", "15000ms"}}},
        {"base_version", "r5"}};
}

} // namespace

Deployment::Deployment(Record &record)
    : m_record(record)
    , m_folder(temporaryFolder())
    , m_store(ip(s_storePlace))
    , m_first("host-1", "gulf-a", ip(s_firstHostPlace), m_store.address(), m_folder)
    , m_second("host-2", "gulf-b", ip(s_secondHostPlace), m_store.address(), m_folder)
{
}

std::string Deployment::ip(int last) const
{
    // Runs beside each other have different process ids, and so different networks.
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + id % 128) + "." + std::to_string(id / 128 % 250) + "." + std::to_string(last);
}

Upstream &Deployment::addUpstream(const std::string &id, milliseconds work)
{
    m_upstreams.push_back(std::make_unique<Upstream>(ip(s_upstreamPlace + static_cast<int>(m_upstreams.size())), id, work, m_record));
    return *m_upstreams.back();
}

void Deployment::registerUpstream(const Upstream &upstream, const RegistrationState &state)
{
    m_store.set("servers",
        upstream.id(),
        {{"service", "desk"},
            {"address", upstream.address()},
            {"zone", "gulf-a"},
            {"version", "v1"},
            {"max_concurrency", Upstream::s_slots},
            {"state", state.state},
            {"cold_remaining", "0ms"},
            {"seq_no", state.reportNumber},
            {"born", state.startedAt}});
    m_record.add(
        upstream.id() + " is registered as " + state.state + ", born " + std::to_string(state.startedAt) + ", seq_no " + std::to_string(state.reportNumber));
}

bool Deployment::start()
{
    m_store.set("op", "config", configuration());
    m_first.start();
    m_second.start();
    return m_first.awaitReady() && m_second.awaitReady();
}

void Deployment::endHosts()
{
    m_first.end();
    m_second.end();
    std::filesystem::remove_all(m_folder);
}

std::int64_t Deployment::unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void runCase(int argumentCount, char **arguments, const std::function<Verdict(Deployment &deployment, bool hasTrouble)> &play)
{
    Verdict verdict = Verdict::NotRun;
    try {
        const char *trouble = std::getenv("TROUBLE");
        static Record record(argumentCount > 1 ? arguments[1] : ".");
        // Never destroyed, since the threads of the stand-ins use it until the process ends.
        auto &deployment = *new Deployment(record);
        verdict = play(deployment, !trouble || std::string(trouble) != "0");
        record.add(verdict == Verdict::Broken ? "verdict: the rule was broken" : verdict == Verdict::Held ? "verdict: the rule held" : "verdict: not run");
        deployment.endHosts();
    } catch (const std::exception &error) {
        std::fputs(error.what(), stderr);
    }
    std::_Exit(static_cast<int>(verdict));
}

} // namespace Trefoil::Review
