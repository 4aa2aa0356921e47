#include <LibSettings/hostsettings.h>

#include <CLI/CLI.hpp>
#include <LibConfiguration/validation.h>
#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>

namespace Trefoil {

namespace {

/// Declares flags with their environment variables and checks the values afterwards.
class HostSettingsParser
{
public:
    HostSettingsParser()
    {
        declareIdentity();
        declareAddresses();
        declareRest();
    }

    Result<std::variant<HostSettings, TextRequested>> parse(int argc, const char *const *argv)
    {
        try {
            m_app.parse(argc, argv);
        } catch (const CLI::CallForHelp &) {
            return std::variant<HostSettings, TextRequested>(TextRequested {m_app.help()});
        } catch (const CLI::ParseError &error) {
            return Error {ErrorCode::InvalidInput, "invalid settings", {{"command line", error.what(), "see --help"}}};
        }
        check();
        if (!m_findings.empty()) {
            return Error {ErrorCode::InvalidInput, "invalid settings", std::move(m_findings)};
        }
        return std::variant<HostSettings, TextRequested>(complete());
    }

private:
    template<typename Value>
    CLI::Option *declare(const std::string &name, Value &target, const std::string &help, const std::string &group)
    {
        std::string variable = "TREFOIL_" + name;
        for (auto &character : variable) {
            character = character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
        }
        return m_app.add_option("--" + name, target, help)->envname(variable)->group(group);
    }

    void declareIdentity()
    {
        declare("host-id", m_host, "Name of this host", "Identity");
        declare("region", m_region, "Region of this host", "Identity");
        declare("zone", m_zone, "Availability zone of this host", "Identity");
    }

    void declareAddresses()
    {
        declare("caller-address", m_settings.callerAddress, "Listening IP:port for callers", "Addresses");
        declare("peer-address", m_settings.peerAddress, "Listening IP:port for peers", "Addresses");
        declare("admin-address", m_settings.adminAddress, "Listening IP:port for operators", "Addresses");
        declare("advertised-caller-address", m_settings.advertisedCallerAddress, "IP:port that callers are told [caller-address]", "Addresses");
        declare("advertised-peer-address", m_settings.advertisedPeerAddress, "IP:port that peers are told [peer-address]", "Addresses");
        declare("source-address", m_settings.sourceAddress, "Local IP of outgoing connections [any]", "Addresses");
        declare("table-address", m_settings.tableAddress, "IP:port of the table service", "Platform");
        declare("object-address", m_settings.objectAddress, "IP:port of the object store", "Platform");
        declare("host-list-address", m_settings.hostListAddress, "IP:port of the host list", "Platform");
        declare("peers", m_settings.peers, "IP:port of peers tried first at start, comma-separated", "Platform")->delimiter(',');
    }

    void declareRest()
    {
        declare("admin-secret-file", m_settings.adminSecretFile, "File with the operators' secret", "Secrets");
        declare("peer-secret-file", m_settings.peerSecretFile, "File with the secret shared by all hosts", "Secrets");
        declare("threads", m_settings.threads, "Worker threads, 1 to 64 [2]", "Process");
        declare("log-level", m_logLevel, "debug, info, warning or error [info]", "Process");
        m_app.add_flag("--check", m_settings.checkOnly, "Check the settings and exit")->group("Process");
    }

    void add(const std::string &name, std::string message, std::string hint = {})
    {
        m_findings.push_back({"--" + name, std::move(message), std::move(hint)});
    }

    void checkName(const std::string &name, const std::string &value)
    {
        if (value.empty()) {
            add(name, "is missing");
        } else if (!isValidName(value)) {
            add(name, fmt::format("\"{}\" is not a valid name", value), "1 to 64 letters, digits, '-', '_' or '.'");
        }
    }

    void checkAddress(const std::string &name, const std::string &value, bool required = true)
    {
        if (value.empty()) {
            if (required) {
                add(name, "is missing");
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
        checkAddress("table-address", m_settings.tableAddress);
        checkAddress("object-address", m_settings.objectAddress);
        checkAddress("host-list-address", m_settings.hostListAddress);
        for (const auto &peer : m_settings.peers) {
            checkAddress("peers", peer);
        }
        boost::system::error_code error;
        boost::asio::ip::make_address_v4(m_settings.sourceAddress, error);
        if (error && !m_settings.sourceAddress.empty()) {
            add("source-address", fmt::format("\"{}\" is not an IPv4 number", m_settings.sourceAddress));
        }
        checkProcess();
    }

    void checkProcess()
    {
        if (m_settings.adminSecretFile.empty()) {
            add("admin-secret-file", "is missing");
        }
        if (m_settings.peerSecretFile.empty()) {
            add("peer-secret-file", "is missing");
        }
        if (m_settings.threads < 1 || m_settings.threads > 64) {
            add("threads", fmt::format("{} is not between 1 and 64", m_settings.threads));
        }
        static const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
        const auto position = std::find(levels.begin(), levels.end(), m_logLevel);
        if (position == levels.end()) {
            add("log-level", fmt::format("\"{}\" is not a level", m_logLevel), "debug, info, warning or error");
            return;
        }
        m_settings.logLevel = static_cast<LogLevel>(position - levels.begin());
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

    CLI::App m_app {"One entry host of trefoilmount"};
    HostSettings m_settings;
    std::string m_host;
    std::string m_region;
    std::string m_zone;
    std::string m_logLevel = "info";
    Findings m_findings;
};

} // namespace

Result<std::variant<HostSettings, TextRequested>> parseHostSettings(int argc, const char *const *argv)
{
    return HostSettingsParser().parse(argc, argv);
}

} // namespace Trefoil
