#include "runner.h"

#include "httpcall.h"
#include "luajson.h"

#include <LibConfiguration/digest.h>
#include <LibConfiguration/json.h>

#include <arpa/inet.h>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <lua.hpp>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Trefoil::Scenarios
{

using nlohmann::json;

namespace
{

/// Below the range from which the kernel takes the ports of outgoing connections.
constexpr int firstPort = 20000;
constexpr int lastPort = 31999;
/// Second octets of 127.x.0.0 that runs share out by pid, so that runs at once do not meet.
constexpr int firstNetwork = 16;
constexpr int networkCount = 200;
constexpr std::size_t logTailBytes = 3000;
/// A scenario only waits inside the runner; this many Lua instructions in a row mean an endless loop.
constexpr int maximumInstructions = 100000000;

bool isFree(const std::string &ip, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int result = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    close(descriptor);
    return result == 0;
}

std::string fileText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void openRestrictedLibraries(lua_State *state)
{
    // No "os", "io" or "package": a scenario acts through the runner only, so that its run can be repeated.
    const std::pair<const char *, lua_CFunction> libraries[] = {
        {LUA_GNAME, luaopen_base}, {LUA_TABLIBNAME, luaopen_table}, {LUA_STRLIBNAME, luaopen_string}, {LUA_MATHLIBNAME, luaopen_math}};
    for (const auto &[name, open] : libraries) {
        luaL_requiref(state, name, open, 1);
        lua_pop(state, 1);
    }
    for (const char *name : {"dofile", "loadfile", "load"}) {
        lua_pushnil(state);
        lua_setglobal(state, name);
    }
}

int addTraceback(lua_State *state)
{
    const char *message = lua_tostring(state, 1);
    luaL_traceback(state, state, message == nullptr ? "error without text" : message, 1);
    return 1;
}

} // namespace

const std::map<std::string, Runner::Native> Runner::s_natives = {
    {"start", &Runner::start},
    {"signal", &Runner::signal},
    {"waitForExit", &Runner::waitForExit},
    {"isRunning", &Runner::isRunning},
    {"http", &Runner::http},
    {"sleep", &Runner::sleep},
    {"now", &Runner::now},
    {"unixMilliseconds", &Runner::unixMilliseconds},
    {"freePort", &Runner::freePort},
    {"writeFile", &Runner::writeFile},
    {"readFile", &Runner::readFile},
    {"decode", &Runner::decode},
    {"encode", &Runner::encode},
    {"configurationDocument", &Runner::configurationDocument},
    {"fail", &Runner::fail},
    {"note", &Runner::note},
    {"proves", &Runner::proves},
    {"limit", &Runner::limit},
    {"network", &Runner::network},
};

/// Every native function takes one plain value and returns one. Lua errors jump over C++ frames, hence no object with a
/// destructor is alive when one is raised.
int callNative(lua_State *state)
{
    bool failed = false;
    {
        try {
            auto *runner = static_cast<Runner *>(lua_touserdata(state, lua_upvalueindex(1)));
            const char *name = lua_tostring(state, lua_upvalueindex(2));
            runner->checkTime();
            pushJson(state, (runner->*Runner::s_natives.at(name))(toJson(state, 1)));
        } catch (const std::exception &error) {
            lua_pushstring(state, error.what());
            failed = true;
        }
    }
    return failed ? lua_error(state) : 1;
}

static void stopWhenLate(lua_State *state, lua_Debug * /*activation*/)
{
    luaL_error(state, "the scenario computes for too long without calling the runner");
}

Runner::Runner(RunnerPaths paths)
    : m_paths(std::move(paths))
    , m_nextPort(firstPort + getpid() % 4000)
{
}

Runner::~Runner() = default;

ScenarioResult Runner::run(const std::string &scenarioPath)
{
    std::error_code ignored;
    std::filesystem::remove_all(m_paths.folder, ignored);
    std::filesystem::create_directories(m_paths.folder, ignored);
    m_start = std::chrono::steady_clock::now();
    runLua(scenarioPath);
    m_processes.endAll();
    if (!m_result.failures.empty()) {
        m_result.logs = tailOfLogs();
    }
    return std::move(m_result);
}

void Runner::runLua(const std::string &scenarioPath)
{
    lua_State *state = luaL_newstate();
    openRestrictedLibraries(state);
    lua_newtable(state);
    for (const auto &native : s_natives) {
        lua_pushlightuserdata(state, this);
        lua_pushstring(state, native.first.c_str());
        lua_pushcclosure(state, callNative, 2);
        lua_setfield(state, -2, native.first.c_str());
    }
    lua_setglobal(state, "native");
    lua_sethook(state, stopWhenLate, LUA_MASKCOUNT, maximumInstructions);
    std::vector<std::string> files = m_paths.preludes;
    files.push_back(scenarioPath);
    for (const auto &path : files) {
        lua_pushcfunction(state, addTraceback);
        if (luaL_loadfile(state, path.c_str()) != LUA_OK || lua_pcall(state, 0, 0, -2) != LUA_OK) {
            const char *message = lua_tostring(state, -1);
            m_result.failures.emplace_back(message == nullptr ? "error without text" : message);
            break;
        }
        lua_settop(state, 0);
    }
    lua_close(state);
}

void Runner::checkTime() const
{
    if (std::chrono::steady_clock::now() - m_start > m_limit) {
        throw std::runtime_error(fmt::format("the scenario took longer than {} s", m_limit.count()));
    }
}

std::string Runner::tailOfLogs() const
{
    std::string text;
    for (const auto &name : m_processes.names()) {
        const std::string log = fileText(fmt::format("{}/{}.log", m_paths.folder, name));
        if (log.empty()) {
            continue;
        }
        text += fmt::format("--- {}\n{}\n", name, log.size() > logTailBytes ? log.substr(log.size() - logTailBytes) : log);
    }
    return text;
}

json Runner::start(const json &arguments)
{
    const std::string program = arguments.at("program");
    const auto path = m_paths.programs.find(program);
    if (path == m_paths.programs.end()) {
        throw std::runtime_error(fmt::format("unknown program \"{}\"", program));
    }
    const std::string name = arguments.at("name");
    std::vector<std::string> words;
    for (const auto &word : arguments.value("arguments", json::array())) {
        words.push_back(word.is_string() ? word.get<std::string>() : word.dump());
    }
    const auto pid = m_processes.start({name, path->second, words, fmt::format("{}/{}.log", m_paths.folder, name)});
    if (pid.has_error()) {
        throw std::runtime_error(pid.error().message);
    }
    return pid.value();
}

json Runner::signal(const json &arguments)
{
    static const std::map<std::string, int> numbers = {{"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
    const auto result = m_processes.signal(arguments.at("name"), numbers.at(arguments.at("signal")));
    if (result.has_error()) {
        throw std::runtime_error(result.error().message);
    }
    return nullptr;
}

json Runner::waitForExit(const json &arguments)
{
    const auto code = m_processes.waitForExit(arguments.at("name"), std::chrono::milliseconds(arguments.at("limitMs").get<int>()));
    return code ? json(*code) : json(nullptr);
}

json Runner::isRunning(const json &arguments)
{
    return m_processes.isRunning(arguments.at("name"));
}

json Runner::http(const json &arguments)
{
    std::vector<HttpCall> calls;
    calls.reserve(arguments.size());
    for (const auto &item : arguments) {
        HttpCall call;
        call.method = item.value("method", call.method);
        call.address = item.at("address");
        call.target = item.value("target", call.target);
        call.headers = item.value("headers", call.headers);
        call.body = item.value("body", call.body);
        call.timeout = std::chrono::milliseconds(item.value("timeoutMs", 5000));
        call.sourceAddress = item.value("source", call.sourceAddress);
        calls.push_back(std::move(call));
    }
    json replies = json::array();
    for (const auto &reply : callAll(calls)) {
        const auto body = json::parse(reply.body, nullptr, false);
        json item = {
            {"status", reply.status}, {"text", reply.body}, {"headers", reply.headers}, {"milliseconds", static_cast<double>(reply.duration.count()) / 1e3}};
        if (!body.is_discarded()) {
            item["json"] = body;
        }
        if (!reply.error.empty()) {
            item["error"] = reply.error;
        }
        replies.push_back(std::move(item));
    }
    return replies;
}

json Runner::sleep(const json &arguments)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(arguments.get<double>()));
    return nullptr;
}

json Runner::now(const json & /*arguments*/)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
}

json Runner::unixMilliseconds(const json & /*arguments*/)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

json Runner::freePort(const json &arguments)
{
    const std::string ip = arguments.get<std::string>();
    for (; m_nextPort <= lastPort; ++m_nextPort) {
        if (isFree(ip, m_nextPort)) {
            return m_nextPort++;
        }
    }
    throw std::runtime_error("no free port is left");
}

json Runner::writeFile(const json &arguments)
{
    const std::string path = fmt::format("{}/{}", m_paths.folder, arguments.at("name").get<std::string>());
    std::ofstream file(path, std::ios::binary);
    file << arguments.at("text").get<std::string>();
    file.flush();
    if (!file) {
        throw std::runtime_error(fmt::format("cannot write {}", path));
    }
    return path;
}

json Runner::readFile(const json &arguments)
{
    return fileText(fmt::format("{}/{}", m_paths.folder, arguments.get<std::string>()));
}

json Runner::decode(const json &arguments)
{
    const auto value = json::parse(arguments.get<std::string>(), nullptr, false);
    return value.is_discarded() ? json(nullptr) : value;
}

json Runner::encode(const json &arguments)
{
    return arguments.dump();
}

json Runner::configurationDocument(const json &arguments)
{
    const auto configuration = configurationFromJson(arguments);
    if (configuration.has_error()) {
        throw std::runtime_error(toText(configuration.error().findings));
    }
    return {{"text", Trefoil::toJson(configuration.value()).dump()}, {"digest", digest(configuration.value())}};
}

json Runner::fail(const json &arguments)
{
    m_result.failures.push_back(arguments.get<std::string>());
    return nullptr;
}

json Runner::note(const json &arguments)
{
    m_result.notes.push_back(arguments.get<std::string>());
    return nullptr;
}

json Runner::proves(const json &arguments)
{
    m_result.proves = arguments.get<std::vector<std::string>>();
    return nullptr;
}

json Runner::limit(const json &arguments)
{
    m_limit = std::chrono::seconds(arguments.get<int>());
    return nullptr;
}

json Runner::network(const json & /*arguments*/)
{
    return fmt::format("127.{}", firstNetwork + getpid() % networkCount);
}

} // namespace Trefoil::Scenarios
