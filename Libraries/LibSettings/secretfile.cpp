#include <LibSettings/secretfile.h>

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <fstream>

namespace Trefoil
{

namespace
{

/// A larger file is a mistake, for example a wrong path; only this much is read.
constexpr std::size_t maximumSecretLength = 4096;

Error fault(const std::string &place, std::string message, std::string hint = {})
{
    return Error{ErrorCode::InvalidInput, "invalid secret file", {{place, std::move(message), std::move(hint)}}};
}

} // namespace

Result<std::string> readSecretFile(const std::string &place, const std::string &path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::string secret(maximumSecretLength + 1, '\0');
    file.read(secret.data(), static_cast<std::streamsize>(secret.size()));
    if (!file.is_open() || file.bad()) {
        return fault(place, fmt::format("cannot read \"{}\": {}", path, std::strerror(errno)));
    }
    secret.resize(static_cast<std::size_t>(file.gcount()));
    if (secret.size() > maximumSecretLength) {
        return fault(place, fmt::format("\"{}\" holds more than {} characters", path, maximumSecretLength));
    }
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    if (secret.empty()) {
        return fault(place, fmt::format("\"{}\" is empty", path));
    }
    if (secret.size() < minimumSecretLength) {
        return fault(
            place, fmt::format("the secret in \"{}\" has {} characters", path, secret.size()), fmt::format("at least {} are needed", minimumSecretLength));
    }
    if (secret.find_first_of(std::string("\r\n\0", 3)) != std::string::npos) {
        return fault(place, fmt::format("\"{}\" holds more than one line", path), "one line of printable characters");
    }
    return secret;
}

} // namespace Trefoil
