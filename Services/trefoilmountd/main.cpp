#include <LibCore/snapshot.h>
#include <LibSettings/hostsettings.h>
#include <LibSettings/secretfile.h>
#include <LibTelemetry/log.h>
#include <Services/trefoilmountd/controlplane.h>
#include <Services/trefoilmountd/host.h>
#include <platform/platformhost.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <random>

namespace
{

using namespace Trefoil;

constexpr int s_exitFailure = 1;
constexpr int s_exitInvalidSettings = 2;

/// Reads both secrets and reports the findings of both together.
Result<HostSecrets> readSecrets(const HostSettings &settings)
{
    auto admin = readSecretFile("--admin-secret-file", settings.adminSecretFile);
    auto peer = readSecretFile("--peer-secret-file", settings.peerSecretFile);
    Findings findings;
    for (const auto *secret : {&admin, &peer}) {
        if (secret->has_error()) {
            const auto &more = secret->error().findings;
            findings.insert(findings.end(), more.begin(), more.end());
        }
    }
    if (!findings.empty()) {
        return Error{ErrorCode::InvalidInput, "invalid settings", std::move(findings)};
    }
    return HostSecrets{admin.value(), peer.value()};
}

Incarnation drawIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return Incarnation(high << 32U | device());
}

int fail(const Error &error, int status)
{
    fmt::print(stderr, "{}\n{}", error.message, toText(error.findings));
    return status;
}

int runHost(const HostSettings &settings, const HostSecrets &secrets)
{
    const SnapshotReaderThread reader;
    HostOptions options;
    options.host = settings.host;
    options.region = settings.region;
    options.zone = settings.zone;
    options.incarnation = drawIncarnation();
    options.callerAddress = settings.callerAddress;
    options.sourceAddress = settings.sourceAddress;
    options.peerSecret = secrets.peer;
    options.threads = settings.threads;
    auto created = Host::create(options);
    if (created.has_error()) {
        return fail(created.error(), s_exitFailure);
    }
    Host &host = *created.value();
    auto connected = ControlPlane::create(host, settings, secrets, options.incarnation);
    if (connected.has_error()) {
        return fail(connected.error(), s_exitFailure);
    }
    ControlPlane &controlPlane = *connected.value();
    host.setClaims(claimAccessTo(&controlPlane.claims()));
    host.setStopCondition([&controlPlane] { return controlPlane.hasLeft(); });
    boost::asio::signal_set signals(host.controlContext(), SIGTERM, SIGINT);
    signals.async_wait([&host, &controlPlane](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        controlPlane.requestStop();
        host.requestStop();
    });
    controlPlane.start();
    host.start();
    host.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    // A gateway host reads its settings from the platform's file instead of flags.
    if (argc == 2 && std::string_view(argv[1]) == "--gateway") {
        return Platform::runPlatformHost();
    }
    auto parsed = parseHostSettings(argc, argv);
    if (parsed.has_error()) {
        return fail(parsed.error(), s_exitInvalidSettings);
    }
    if (const auto *text = std::get_if<TextRequested>(&parsed.value())) {
        fmt::print("{}", text->text);
        return 0;
    }
    const HostSettings &settings = std::get<HostSettings>(parsed.value());
    const auto secrets = readSecrets(settings);
    if (secrets.has_error()) {
        return fail(secrets.error(), s_exitInvalidSettings);
    }
    if (settings.checkOnly) {
        return 0;
    }
    configureLog(settings.logLevel, settings.host, settings.zone);
    return runHost(settings, secrets.value());
}
