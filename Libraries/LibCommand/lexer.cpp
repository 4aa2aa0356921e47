#include <LibCommand/lexer.h>

namespace Trefoil
{

namespace
{

bool isBlank(char character)
{
    return character == ' ' || character == '\t' || character == '\r';
}

char printable(char character)
{
    return character > ' ' && character <= '~' ? character : '?';
}

class Lexer
{
public:
    explicit Lexer(std::string_view text)
        : m_text(text)
    {
    }

    std::vector<TokenLine> run()
    {
        while (m_position < m_text.size()) {
            step();
        }
        endCommand();
        return std::move(m_lines);
    }

private:
    void step()
    {
        const char character = m_text[m_position];
        if (character == '\n') {
            endCommand();
            ++m_position;
            ++m_place.line;
            m_place.column = 1;
        } else if (character == ';') {
            endCommand();
            advance();
        } else if (character == '#') {
            skipComment();
        } else if (isBlank(character)) {
            advance();
        } else {
            readWord();
        }
    }

    void readWord()
    {
        Token token{{}, m_place};
        while (m_position < m_text.size() && !endsWord(m_text[m_position])) {
            token.text += printable(m_text[m_position]);
            advance();
        }
        m_line.tokens.push_back(std::move(token));
        m_line.end = m_place;
    }

    static bool endsWord(char character)
    {
        return character == '\n' || character == ';' || character == '#' || isBlank(character);
    }

    void skipComment()
    {
        while (m_position < m_text.size() && m_text[m_position] != '\n') {
            advance();
        }
    }

    void endCommand()
    {
        if (!m_line.tokens.empty()) {
            m_lines.push_back(std::move(m_line));
        }
        m_line = {};
    }

    void advance()
    {
        ++m_position;
        ++m_place.column;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    SourcePlace m_place;
    TokenLine m_line;
    std::vector<TokenLine> m_lines;
};

} // namespace

std::vector<TokenLine> splitCommands(std::string_view text)
{
    return Lexer(text).run();
}

} // namespace Trefoil
