#pragma once

#include <LibCore/result.h>

#include <string>

namespace Trefoil
{

/// Shortest secret that is accepted, in characters.
constexpr std::size_t minimumSecretLength = 16;

/// Reads a secret from a file, without the line break at its end. The error holds one finding at `place` that tells whether
/// the file is unreadable, empty, too short, or not one line; it never holds the secret.
/// Precondition: none. Thread safety: safe from any thread.
Result<std::string> readSecretFile(const std::string &place, const std::string &path);

} // namespace Trefoil
