#pragma once

#include <LibCore/result.h>
#include <LibPeer/messages.h>

#include <string>
#include <string_view>

/// CBOR form of the peer messages: one map with a "t" member, which names the type, and one member per field.
namespace Trefoil
{

/// The message as CBOR bytes. Precondition: texts are UTF-8. Thread safety: safe from any thread.
std::string encodePeerMessage(const PeerMessage &message);

/// Reads a message. Every field must be present, have its type and be in range; unknown members are ignored, so that
/// hosts of a later release can add some. Malformed bytes end in ErrorCode::Protocol and never in an exception.
/// Precondition: none. Thread safety: safe from any thread.
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Trefoil
