#pragma once

#include <LibCommand/command.h>

#include <string>
#include <string_view>
#include <vector>

namespace Trefoil
{

/// A word of the command language.
struct Token
{
    std::string text;
    SourcePlace place;
};

/// The words of one command and the place after its last one.
struct TokenLine
{
    std::vector<Token> tokens;
    SourcePlace end;
};

/// Splits a text into commands. A command ends at a line end or ';'; '#' starts a comment up to the line end.
/// Bytes that are not printable ASCII become '?', so that findings can quote any word.
/// Precondition: none. Thread safety: safe from any thread.
std::vector<TokenLine> splitCommands(std::string_view text);

} // namespace Trefoil
