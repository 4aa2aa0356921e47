#include <LibSettings/hostsettings.h>

#include <LibSettings/version.h>

#include <CLI/CLI.hpp>
#include <LibConfiguration/validation.h>
#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>

namespace Trefoil
{

namespace
{

/// Names of the environment variables: --host-id has TREFOIL_HOST_ID.
std::string variableOf(const std::string &name)
{
    std::string variable = "TREFOIL_" + name;
    for (auto &character : variable) {
        character = character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return variable;
}

/// Declares flags with their environment variables and checks the values afterwards. Every value is read as text, since
/// CLI11 stops at the first value that it cannot convert, whereas all findings have to be reported together.
class HostSettingsParser
{
public:
    HostSettingsParser()
    {
        m_app.set_version_flag("--version", fmt::format("trefoilmountd {}", versionText), "Print the version and exit");
        m_app.allow_extras();
        m_app.footer("Each flag can be set by the environment variable shown beside it; the flag wins over the variable.\n"
                     "Exit codes: 0 after a regular stop, 1 after a failure, 2 for invalid settings.");
        declareIdentity();
        declareAddresses();
        declareRest();
    }

    Result<std::variant<HostSettings, TextRequested>> parse(int argc, const char *const *argv)
    {
        try {
            m_app.parse(argc, argv);
        } catch (const CLI::CallForHelp &) {
            return std::variant<HostSettings, TextRequested>(TextRequested{m_app.help()});
        } catch (const CLI::CallForVersion &) {
            return std::variant<HostSettings, TextRequested>(TextRequested{m_app.version() + "\n"});
        } catch (const CLI::ParseError &error) {
            return Error{ErrorCode::InvalidInput, "invalid settings", {{"command line", error.what(), "see --help"}}};
        }
        m_arguments.assign(argv + 1, argv + argc);
        check();
        if (!m_findings.empty()) {
            return Error{ErrorCode::InvalidInput, "invalid settings", std::move(m_findings)};
        }
        return std::variant<HostSettings, TextRequested>(complete());
    }

private:
    template<typename Value>
    CLI::Option *declare(const std::string &name, Value &target, const std::string &type, const std::string &help, const std::string &group)
    {
        m_names.push_back("--" + name);
        // A flag without its value counts as empty, so that the other findings are still reported.
        return m_app.add_option("--" + name, target, help)
            ->envname(variableOf(name))
            ->group(group)
            ->type_name(type)
            ->expected(0, 1)
            ->multi_option_policy(CLI::MultiOptionPolicy::TakeLast);
    }

    void declareIdentity()
    {
        declare("host-id", m_host, "NAME", "Name of this host (required)", "Identity");
        declare("region", m_region, "NAME", "Region of this host (required)", "Identity");
        declare("zone", m_zone, "NAME", "Availability zone of this host (required)", "Identity");
    }

    void declareAddresses()
    {
        const std::string type = "IP:PORT";
        declare("caller-address", m_settings.callerAddress, type, "Listening address for callers (required)", "Addresses");
        declare("peer-address", m_settings.peerAddress, type, "Listening address for peers (required)", "Addresses");
        declare("admin-address", m_settings.adminAddress, type, "Listening address for operators (required)", "Addresses");
        declare("advertised-caller-address", m_settings.advertisedCallerAddress, type, "Address that callers are told [caller-address]", "Addresses");
        declare("advertised-peer-address", m_settings.advertisedPeerAddress, type, "Address that peers are told [peer-address]", "Addresses");
        declare("source-address", m_settings.sourceAddress, "IP", "Local address of outgoing connections [any]", "Addresses");
        declare("table-address", m_settings.tableAddress, type, "Table service (required)", "Platform");
        declare("object-address", m_settings.objectAddress, type, "Object store (required)", "Platform");
        declare("host-list-address", m_settings.hostListAddress, type, "Host list (required)", "Platform");
        declare("peers", m_peers, "IP:PORT,...", "Peers tried at start when the host list is away [none]", "Platform");
    }

    void declareRest()
    {
        declare("admin-secret-file", m_settings.adminSecretFile, "FILE", "Operators' secret, at least 16 characters (required)", "Secrets");
        declare("peer-secret-file", m_settings.peerSecretFile, "FILE", "Secret shared by all hosts, at least 16 characters (required)", "Secrets");
        declare("threads", m_threads, "NUMBER", "Worker threads, 1 to 64 [2]", "Process");
        declare("log-level", m_logLevel, "LEVEL", "Lowest level logged: debug, info, warning or error [info]", "Process");
        m_checkOption = declare("check", m_check, "", "Check the settings and exit [no]", "Process");
    }

    /// Where a value was set: the flag, or the environment variable if the flag was not given.
    std::string placeOf(const std::string &name) const
    {
        std::string flag = "--" + name;
        for (const auto &argument : m_arguments) {
            if (argument == flag || argument.rfind(flag + "=", 0) == 0) {
                return flag;
            }
        }
        return std::getenv(variableOf(name).c_str()) == nullptr ? flag : variableOf(name);
    }

    void add(const std::string &name, std::string message, std::string hint = {})
    {
        m_findings.push_back({placeOf(name), std::move(message), std::move(hint)});
    }

    void addMissing(const std::string &name)
    {
        add(name, "is missing", fmt::format("set --{} or {}", name, variableOf(name)));
    }

    void checkName(const std::string &name, const std::string &value)
    {
        if (value.empty()) {
            addMissing(name);
        } else if (!isValidName(value)) {
            add(name, fmt::format("\"{}\" is not a valid name", value), "1 to 64 letters, digits, '-', '_' or '.'");
        }
    }

    void checkAddress(const std::string &name, const std::string &value, bool required = true)
    {
        if (value.empty()) {
            if (required) {
                addMissing(name);
            }
            return;
        }
        if (!isValidAddress(value)) {
            add(name, fmt::format("\"{}\" is not an IPv4 number and port", value), "for example 127.0.0.1:8080");
        }
    }

    void check()
    {
        checkName("host-id", m_host);
        checkName("region", m_region);
        checkName("zone", m_zone);
        checkAddress("caller-address", m_settings.callerAddress);
        checkAddress("peer-address", m_settings.peerAddress);
        checkAddress("admin-address", m_settings.adminAddress);
        checkAddress("advertised-caller-address", m_settings.advertisedCallerAddress, false);
        checkAddress("advertised-peer-address", m_settings.advertisedPeerAddress, false);
        checkDistinct("peer-address", m_settings.peerAddress, {{"caller-address", m_settings.callerAddress}});
        checkDistinct("admin-address", m_settings.adminAddress, {{"caller-address", m_settings.callerAddress}, {"peer-address", m_settings.peerAddress}});
        checkSourceAddress();
        checkAddress("table-address", m_settings.tableAddress);
        checkAddress("object-address", m_settings.objectAddress);
        checkAddress("host-list-address", m_settings.hostListAddress);
        checkPeers();
        checkProcess();
        checkUnknownArguments();
    }

    void checkDistinct(const std::string &name, const std::string &value, const std::vector<std::pair<std::string, std::string>> &others)
    {
        for (const auto &[otherName, otherValue] : others) {
            if (!value.empty() && value == otherValue) {
                add(name, fmt::format("{} is also the --{}", value, otherName), "each interface needs a port of its own");
            }
        }
    }

    void checkSourceAddress()
    {
        boost::system::error_code error;
        boost::asio::ip::make_address_v4(m_settings.sourceAddress, error);
        if (error && !m_settings.sourceAddress.empty()) {
            add("source-address", fmt::format("\"{}\" is not an IPv4 number", m_settings.sourceAddress), "for example 127.0.0.1, without a port");
        }
    }

    void checkPeers()
    {
        std::size_t start = 0;
        while (start < m_peers.size()) {
            const std::size_t end = std::min(m_peers.find(',', start), m_peers.size());
            m_settings.peers.push_back(m_peers.substr(start, end - start));
            checkAddress("peers", m_settings.peers.back());
            start = end + 1;
        }
    }

    void checkProcess()
    {
        if (m_settings.adminSecretFile.empty()) {
            addMissing("admin-secret-file");
        }
        if (m_settings.peerSecretFile.empty()) {
            addMissing("peer-secret-file");
        }
        const char *end = m_threads.data() + m_threads.size();
        const auto parsed = std::from_chars(m_threads.data(), end, m_settings.threads);
        if (parsed.ec != std::errc() || parsed.ptr != end || m_settings.threads < 1 || m_settings.threads > 64) {
            add("threads", fmt::format("\"{}\" is not a number from 1 to 64", m_threads));
        }
        static const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
        const auto position = std::find(levels.begin(), levels.end(), m_logLevel);
        if (position == levels.end()) {
            add("log-level", fmt::format("\"{}\" is not a level", m_logLevel), "debug, info, warning or error");
        } else {
            m_settings.logLevel = static_cast<LogLevel>(position - levels.begin());
        }
        checkCheck();
    }

    void checkCheck()
    {
        static const std::vector<std::string> on = {"", "1", "true", "yes", "on"};
        static const std::vector<std::string> off = {"0", "false", "no", "off"};
        const auto contains = [this](const std::vector<std::string> &list) { return std::find(list.begin(), list.end(), m_check) != list.end(); };
        m_settings.checkOnly = m_checkOption->count() > 0 && contains(on);
        if (!contains(on) && !contains(off)) {
            add("check", fmt::format("\"{}\" is neither yes nor no", m_check));
        }
    }

    void checkUnknownArguments()
    {
        bool afterUnknownFlag = false;
        for (const auto &argument : m_app.remaining()) {
            const bool isFlag = argument.rfind('-', 0) == 0;
            if (isFlag) {
                const std::string nearest = nearestName(argument.substr(0, argument.find('=')), m_names);
                m_findings.push_back({argument, "unknown flag", nearest.empty() ? "see --help" : fmt::format("did you mean {}?", nearest)});
            } else if (!afterUnknownFlag) {
                m_findings.push_back({argument, "unexpected argument", "every setting has a flag; see --help"});
            }
            afterUnknownFlag = isFlag;
        }
    }

    HostSettings complete()
    {
        m_settings.host = HostId(m_host);
        m_settings.region = RegionId(m_region);
        m_settings.zone = ZoneId(m_zone);
        if (m_settings.advertisedCallerAddress.empty()) {
            m_settings.advertisedCallerAddress = m_settings.callerAddress;
        }
        if (m_settings.advertisedPeerAddress.empty()) {
            m_settings.advertisedPeerAddress = m_settings.peerAddress;
        }
        return m_settings;
    }

    CLI::App m_app{"One entry host of trefoilmount"};
    HostSettings m_settings;
    std::string m_host;
    std::string m_region;
    std::string m_zone;
    std::string m_peers;
    std::string m_threads = "2";
    std::string m_logLevel = "info";
    std::string m_check;
    CLI::Option *m_checkOption = nullptr;
    std::vector<std::string> m_names;
    std::vector<std::string> m_arguments;
    Findings m_findings;
};

} // namespace

Result<std::variant<HostSettings, TextRequested>> parseHostSettings(int argc, const char *const *argv)
{
    return HostSettingsParser().parse(argc, argv);
}

} // namespace Trefoil
