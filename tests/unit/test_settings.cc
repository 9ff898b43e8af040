#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "internal/settings.h"
}

namespace
{

const char valid_text[] = R"([node]
id = 7
domain = "pl-central-a"
domain_id = 1
region = "pl-central"
service = "orders"
[listen]
front = "127.0.0.1:8080"
peer = "127.0.0.1:7000"
admin = "127.0.0.1:9000"
[admin]
token = "0123456789abcdef"
[upstream]
address = "127.0.0.1:3000"
slots = 75
connections = 550
[platform]
address = "127.0.0.1:2000"
[keys]
curve_public = "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
curve_secret = "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6"
request_key_secret = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
[[seed]]
node = 8
address = "127.0.0.1:7001"
)";

// Replaces one line of the valid text and returns all errors as text.
std::string
errors_with (const std::string &line, const std::string &replacement)
{
  std::string text = valid_text;
  struct eel_settings settings;
  struct eel_settings_error errors[EEL_SETTINGS_ERRORS_MAX];
  std::string out;
  size_t at = text.find (line);

  EXPECT_NE (at, std::string::npos) << line;
  text.replace (at, line.size (), replacement);
  size_t count = eel_settings_parse (&settings, text.data (), text.size (),
                                     errors, EEL_SETTINGS_ERRORS_MAX);
  for (size_t i = 0; i < count; i++)
    out += std::to_string (errors[i].line) + ":" + errors[i].key + ": "
           + errors[i].text + "\n";
  return out;
}

struct settings_case
{
  const char *line;
  const char *replacement;
  const char *expected;
};

const settings_case cases[] = {
  { "id = 7", "id = 0", "2:id: must be a whole number from 1 to 2147483647\n" },
  { "id = 7", "id = \"7\"",
    "2:id: must be a whole number from 1 to 2147483647\n" },
  { "id = 7\n", "", "1:id: missing in table [node]\n" },
  { "domain_id = 1", "domain_id = 1\ncolour = 3",
    "5:colour: unknown key in table [node]\n" },
  { "service = \"orders\"", "service = \"\"",
    "6:service: must be a string of 1 to 63 bytes\n" },
  { "127.0.0.1:8080", "localhost:8080",
    "8:front: must be \"IPv4:port\" with a port from 0 to 65535\n" },
  { "127.0.0.1:8080", "127.0.0.1:70000",
    "8:front: must be \"IPv4:port\" with a port from 0 to 65535\n" },
  { "0123456789abcdef", "short",
    "12:token: must be a string of 16 to 127 bytes\n" },
  { "connections = 550", "connections = 10",
    "13:connections: must be at least slots (75)\n" },
  { "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7", "abc",
    "20:curve_public: must be a CURVE key of 40 Z85 characters\n" },
  { "000102", "zz0102",
    "22:request_key_secret: must be 64 hexadecimal digits\n" },
  { "[platform]", "[platfrom]", "17:platfrom: unknown table or key\n" },
  { "[admin]\ntoken = \"0123456789abcdef\"\n", "",
    "1:admin: missing table [admin]\n" },
  { "node = 8", "node = -1",
    "24:node: must be a whole number from 1 to 2147483647\n" },
  { "[[seed]]", "[seed]", "23:seed: must be at most 64 tables [[seed]]\n" },
  { "slots = 75", "slots = 75\nslots = 75",
    "16:: not valid TOML: Error while parsing key-value pair: cannot "
    "redefine existing integer 'slots'\n" },
};

} // namespace

// Guards against an invalid setting that is accepted, or reported with the
// wrong line or key.
TEST (settings, each_error_has_line_key_and_range)
{
  for (const settings_case &c : cases)
    EXPECT_EQ (errors_with (c.line, c.replacement), c.expected)
        << c.replacement;
}

// Guards against a value or default of a valid file being lost.
TEST (settings, valid_text)
{
  struct eel_settings settings;
  struct eel_settings_error errors[EEL_SETTINGS_ERRORS_MAX];

  ASSERT_EQ (eel_settings_parse (&settings, valid_text, sizeof valid_text - 1,
                                 errors, EEL_SETTINGS_ERRORS_MAX),
             0u);
  EXPECT_EQ (settings.node, 7u);
  EXPECT_STREQ (settings.service, "orders");
  EXPECT_EQ (settings.front.port, 8080);
  EXPECT_EQ (settings.upstream_connections, 550u);
  EXPECT_EQ (settings.seed_count, 1u);
  EXPECT_EQ (settings.seeds[0].node, 8u);
  EXPECT_EQ (settings.key_secret[31], 0x1f);
  EXPECT_EQ (settings.keys_max, 16384u);
  EXPECT_TRUE (settings.has_platform);
  EXPECT_FALSE (settings.has_curve_next);
}
