#include <LibCore/snapshot.h>
#include <LibSettings/hostsettings.h>
#include <LibTelemetry/log.h>
#include <Services/trefoilmountd/host.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <random>

namespace {

using namespace Trefoil;

constexpr int s_exitFailure = 1;
constexpr int s_exitInvalidSettings = 2;

/// The first line of a secret's file.
Result<std::string> readSecret(const std::string &flag, const std::string &path)
{
    std::ifstream file(path);
    std::string secret;
    if (!std::getline(file, secret) || secret.empty()) {
        return Error {ErrorCode::InvalidInput, "invalid settings", {{flag, "the file can't be read or its first line is empty", path}}};
    }
    return secret;
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

int runHost(const HostSettings &settings, const std::string &peerSecret)
{
    const SnapshotReaderThread reader;
    HostOptions options;
    options.host = settings.host;
    options.region = settings.region;
    options.zone = settings.zone;
    options.incarnation = drawIncarnation();
    options.callerAddress = settings.callerAddress;
    options.sourceAddress = settings.sourceAddress;
    options.peerSecret = peerSecret;
    options.threads = settings.threads;
    // FIXME: No claim service and no control loops are attached yet; requests that must not repeat end as not-run.
    auto created = Host::create(options, {});
    if (created.has_error()) {
        return fail(created.error(), s_exitFailure);
    }
    Host &host = *created.value();
    boost::asio::signal_set signals(host.controlContext(), SIGTERM, SIGINT);
    signals.async_wait([&host](const boost::system::error_code &error, int) {
        if (!error) {
            host.requestStop();
        }
    });
    host.start();
    host.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto parsed = parseHostSettings(argc, argv);
    if (parsed.has_error()) {
        return fail(parsed.error(), s_exitInvalidSettings);
    }
    if (const auto *text = std::get_if<TextRequested>(&parsed.value())) {
        fmt::print("{}", text->text);
        return 0;
    }
    const HostSettings &settings = std::get<HostSettings>(parsed.value());
    const auto peerSecret = readSecret("--peer-secret-file", settings.peerSecretFile);
    if (peerSecret.has_error()) {
        return fail(peerSecret.error(), s_exitInvalidSettings);
    }
    if (settings.checkOnly) {
        return 0;
    }
    configureLog(settings.logLevel, settings.host, settings.zone);
    return runHost(settings, peerSecret.value());
}
