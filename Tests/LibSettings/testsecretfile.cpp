#include <LibSettings/secretfile.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace
{

struct SecretCase
{
    /// Content of the file; "absent" means that there is no file, "folder" that the path is a folder.
    char content[48];
    char message[32];
};

} // namespace

// Guards against a host that runs with a missing or guessable secret, and against a line break that becomes part of one.
ParameterizedTestParameters(SecretFile, contents)
{
    static SecretCase cases[] = {
        {"0123456789abcdef\n", ""},
        {"0123456789abcdef\r\n", ""},
        {"0123456789abcdef", ""},
        {"0123456789abcde\n", "has 15 characters"},
        {"", "is empty"},
        {"\n\n", "is empty"},
        {"0123456789\n0123456789", "more than one line"},
        {"absent", "cannot read"},
        {"folder", "cannot read"},
    };
    return cr_make_param_array(SecretCase, cases, std::size(cases));
}

ParameterizedTest(SecretCase *testCase, SecretFile, contents)
{
    char folder[] = "/tmp/trefoil-secret-XXXXXX";
    cr_assert_not_null(mkdtemp(folder));
    const std::string content = testCase->content;
    std::string path = std::string(folder) + "/secret";
    if (content == "folder") {
        path = folder;
    } else if (content != "absent") {
        std::ofstream(path) << content;
    }
    const auto result = Trefoil::readSecretFile("--admin-secret-file", path);
    unlink((std::string(folder) + "/secret").c_str());
    rmdir(folder);
    if (testCase->message[0] == '\0') {
        cr_assert(result.has_value());
        cr_assert_str_eq(result.value().c_str(), "0123456789abcdef");
        return;
    }
    cr_assert(result.has_error());
    const std::string text = Trefoil::toText(result.error().findings);
    cr_assert(text.find(testCase->message) != std::string::npos, "%s", text.c_str());
    cr_assert_eq(text.rfind("--admin-secret-file: ", 0), 0);
    cr_assert_eq(text.find("012345"), std::string::npos, "the secret is in the report");
}
