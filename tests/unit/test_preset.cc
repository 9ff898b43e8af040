#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

extern "C"
{
#include "eelgrasslatch/preset.h"
}

namespace
{

const std::string head = "format = 1\nrevision = 7\nin_force = \"a\"\n";
const std::string rule = "[[rule]]\nservice = \"orders\"\n";

const uint8_t *
data (const std::string &text)
{
  return reinterpret_cast<const uint8_t *> (text.data ());
}

std::string
document (uint64_t revision, const std::string &more = "")
{
  return "format = 1\nrevision = " + std::to_string (revision)
         + "\nin_force = \"a\"\n[preset.a]\n" + more;
}

struct eel_document *
parse (const std::string &text, struct eel_document_error *error)
{
  return eel_document_parse (data (text), text.size (), error);
}

struct store_guard
{
  struct eel_preset_store store;
  struct eel_document_error error;
  store_guard ()
  {
    eel_preset_store_init (&store);
  }
  ~store_guard ()
  {
    eel_preset_store_finish (&store);
  }
  enum eel_store_result
  offer (const std::string &text)
  {
    return eel_preset_store_offer (&store, data (text), text.size (), &error);
  }
};

} // namespace

// Guards against an invalid document that is accepted, or refused without the
// line, the key and the allowed range.
TEST (preset, invalid_documents_are_refused_with_exact_text)
{
  const struct
  {
    std::string text;
    const char *expected;
  } cases[] = {
    { "", "line 1: format is missing" },
    { "format = 2\nnew_key = 1\n", "line 1: format is 2; allowed is 1 to 1" },
    { "format = \"1\"\n", "line 1: format must be an integer from 1 to 1" },
    { head + "colour = 1\n[preset.a]\n", "line 4: colour is not a known key" },
    { "format = 1\n[preset.a]\n", "line 1: revision is missing" },
    { "format = 1\nrevision = 0\n",
      "line 2: revision is 0; allowed is 1 to 9223372036854775807" },
    { "format = 1\nrevision = -3\n",
      "line 2: revision is -3; allowed is 1 to 9223372036854775807" },
    { "format = 1\nrevision = 1.5\n",
      "line 2: revision must be an integer from 1 to 9223372036854775807" },
    { head, "line 1: preset must be 1 to 16 tables [preset.NAME]" },
    { head + "preset = 3\n",
      "line 4: preset must be 1 to 16 tables [preset.NAME]" },
    { "format = 1\nrevision = 1\n[preset.a]\n", "line 1: in_force is missing" },
    { "format = 1\nrevision = 1\nin_force = \"b\"\n[preset.a]\n",
      "line 3: in_force must name one of the presets" },
    { head + "[preset.A]\n", "line 4: preset name \"A\" must have 1 to 31 of "
                             "a-z, 0-9, _ and -" },
    { head + "[preset]\na = 1\n", "line 5: preset.a must be a table" },
    { head + "[preset.a]\nqueue_max = 0\n",
      "line 5: preset.a.queue_max is 0; allowed is 1 to 65536" },
    { head + "[preset.a]\nramp_ms = 600001\n",
      "line 5: preset.a.ramp_ms is 600001; allowed is 0 to 600000" },
    { head + "[preset.a]\nqueue_max = \"9\"\n",
      "line 5: preset.a.queue_max must be an integer from 1 to 65536" },
    { head + "[preset.a]\nqueue_size = 9\n",
      "line 5: preset.a.queue_size is not a known key" },
    { head + "[preset.a]\nrefuse_from_class = \"all\"\n",
      "line 5: preset.a.refuse_from_class must be \"critical\", "
      "\"lookup\", \"background\" or \"none\"" },
    { head + "[preset.a]\ndeadline_max_ms = 10\n",
      "line 4: preset.a.deadline_default_ms is 5000; allowed is 1 to "
      "deadline_max_ms, 10" },
    { head + "[preset.a]\n[rule]\n",
      "line 5: rule must be 0 to 4096 tables [[rule]]" },
    { head + "[preset.a]\n" + rule + "idempotent = true\n",
      "line 5: rule.class is missing" },
    { head + "[preset.a]\n" + rule + "class = \"lookup\"\n",
      "line 5: rule.idempotent is missing" },
    { head + "[preset.a]\n" + rule + "class = \"none\"\n",
      "line 7: rule.class must be \"critical\", \"lookup\" or "
      "\"background\"" },
    { head + "[preset.a]\n" + rule + "idempotent = 1\n",
      "line 7: rule.idempotent must be true or false" },
    { head + "[preset.a]\n" + rule + "method = \"get\"\n",
      "line 7: rule.method must have 1 to 7 letters A-Z" },
    { head + "[preset.a]\n" + rule + "path_prefix = \"/a?b\"\n",
      "line 7: rule.path_prefix must begin with '/' and have 1 to 255 "
      "printable characters without space, '?' and '#'" },
    { head + "[preset.a]\n" + rule + "host = \"x\"\n",
      "line 7: rule.host is not a known key" },
    { head + "[preset.a]\n[[rule]]\nservice = \"\"\n",
      "line 6: rule.service must have 1 to 63 letters, digits, '.', '_' and "
      "'-'" },
    { std::string (EEL_DOCUMENT_BYTES_MAX + 1, '\n'),
      "line 1: the document has 1048577 bytes; allowed is 1 to 1048576" },
  };

  for (const auto &c : cases)
    {
      struct eel_document_error error;

      EXPECT_EQ (parse (c.text, &error), nullptr) << c.expected;
      EXPECT_STREQ (error.text, c.expected);
    }
}

// Guards against a document truncated in transit that is accepted as the
// complete one with the same revision.
TEST (preset, truncated_in_a_value_is_refused)
{
  std::string text = head + "[preset.a]\nrefuse_from_class = \"lookup\"\n";
  struct eel_document_error error;

  EXPECT_EQ (parse (text.substr (0, text.size () - 5), &error), nullptr);
  EXPECT_EQ (error.kind, EEL_ERROR_DOCUMENT_INVALID);
  EXPECT_EQ (error.line, 5u);
}

// Guards against the shipped example or a default that the parser refuses.
TEST (preset, example_parses)
{
  std::ifstream file ("presets/example.toml");
  std::stringstream text;
  struct eel_document_error error;
  struct eel_document *parsed;

  text << file.rdbuf ();
  parsed = parse (text.str (), &error);
  ASSERT_NE (parsed, nullptr) << error.text;
  EXPECT_STREQ (eel_document_preset (parsed)->name, "ordinary");
  EXPECT_EQ (eel_document_preset (parsed)->ramp_ms, 10000);
  EXPECT_EQ (
      eel_document_rule (parsed, "catalogue", "GET", "/v1/export/x")->klass,
      EEL_CLASS_BACKGROUND);
  EXPECT_EQ (eel_document_rule (parsed, "catalogue", "GET", "/v1/a")->klass,
             EEL_CLASS_LOOKUP);
  EXPECT_EQ (
      eel_document_rule (parsed, "orders", "POST", "/v1/orders/9")->idempotent,
      0);
  EXPECT_EQ (eel_document_rule (parsed, "orders", "PUT", "/v1/orders/9"),
             nullptr);
  EXPECT_EQ (eel_document_rule (parsed, "nobody", "GET", "/"), nullptr);
  eel_document_unref (parsed);
}

// Guards against nodes that keep different contents of one revision because
// they received them in different orders.
TEST (preset, one_revision_with_two_contents_converges_in_both_orders)
{
  std::string x = document (5, "queue_max = 10\n");
  std::string y = document (5, "queue_max = 11\n");
  store_guard first;
  store_guard second;
  enum eel_store_result result;

  EXPECT_EQ (first.offer (x), EEL_STORE_ACCEPTED);
  EXPECT_EQ (second.offer (y), EEL_STORE_ACCEPTED);
  result = first.offer (y);
  EXPECT_EQ (second.offer (x), result == EEL_STORE_CONFLICT_ACCEPTED
                                   ? EEL_STORE_CONFLICT_KEPT
                                   : EEL_STORE_CONFLICT_ACCEPTED);
  EXPECT_EQ (eel_revision_compare (&first.store.current->revision,
                                   &second.store.current->revision),
             0);
  EXPECT_EQ (first.store.conflicts, 1u);
  EXPECT_EQ (second.store.conflicts, 1u);
}

// Guards against a store that returns to a lower revision, or that drops the
// document in force when an invalid or oversized one is published.
TEST (preset, store_never_goes_back)
{
  store_guard guard;
  struct eel_document *held;

  EXPECT_EQ (guard.store.current->revision.number, 0u);
  EXPECT_EQ (guard.offer (document (5)), EEL_STORE_ACCEPTED);
  held = eel_document_ref (guard.store.current);
  EXPECT_EQ (guard.offer (document (5)), EEL_STORE_SAME);
  EXPECT_EQ (guard.offer (document (4)), EEL_STORE_OLDER);
  EXPECT_EQ (guard.offer (document (9, "queue_max = 0\n")), EEL_STORE_REFUSED);
  EXPECT_EQ (guard.offer (std::string (EEL_DOCUMENT_BYTES_MAX + 1, ' ')),
             EEL_STORE_REFUSED);
  EXPECT_EQ (guard.error.kind, EEL_ERROR_DOCUMENT_TOO_LARGE);
  EXPECT_EQ (guard.store.current->revision.number, 5u);
  EXPECT_EQ (guard.offer (document (6)), EEL_STORE_ACCEPTED);
  EXPECT_EQ (guard.offer (document (7)), EEL_STORE_ACCEPTED);
  // A request in flight still references revision 5.
  EXPECT_EQ (held->revision.number, 5u);
  EXPECT_EQ (held->references, 1u);
  eel_document_unref (held);
}

namespace
{

// A valid document of nearly 1 MiB whose comments barely compress.
struct eel_document *
large_document (uint64_t revision, const char *value)
{
  std::string text = document (revision, value);
  struct eel_document_error error;
  uint64_t state = 88172645463325252ULL;

  while (text.size () < EEL_DOCUMENT_BYTES_MAX - 64)
    {
      char line[48];

      state ^= state << 13;
      state ^= state >> 7;
      state ^= state << 17;
      std::snprintf (line, sizeof line, "# %016llx%016llx\n",
                     static_cast<unsigned long long> (state),
                     static_cast<unsigned long long> (state * 31));
      text += line;
    }
  return parse (text, &error);
}

} // namespace

// Guards against a window too small for the base: a few changed values in
// 1 MB must cost a few hundred bytes and give the exact bytes back.
TEST (preset, delta_of_a_small_change_is_small)
{
  struct eel_document *base = large_document (5, "queue_max = 10\n");
  struct eel_document *next = large_document (6, "queue_max = 2000\n");
  uint8_t *packed;
  uint8_t *bytes;
  size_t packed_bytes;
  size_t byte_count;

  ASSERT_NE (base, nullptr);
  ASSERT_NE (next, nullptr);
  ASSERT_EQ (eel_document_pack (next, base, &packed, &packed_bytes), EEL_OK);
  EXPECT_LT (packed_bytes, 1000u);
  ASSERT_EQ (
      eel_document_unpack (packed, packed_bytes, base, &bytes, &byte_count),
      EEL_OK);
  ASSERT_EQ (byte_count, next->byte_count);
  EXPECT_EQ (memcmp (bytes, next->bytes, byte_count), 0);
  free (bytes);
  // Unpacking against a wrong base or none fails.
  EXPECT_EQ (
      eel_document_unpack (packed, packed_bytes, next, &bytes, &byte_count),
      EEL_ERROR_DOCUMENT_INVALID);
  EXPECT_EQ (
      eel_document_unpack (packed, packed_bytes, nullptr, &bytes, &byte_count),
      EEL_ERROR_DOCUMENT_INVALID);
  EXPECT_EQ (bytes, nullptr);
  free (packed);
  eel_document_unref (base);
  eel_document_unref (next);
}

// Guards against malicious frames: decompression bombs, invalid lengths,
// truncation and bit flips must be refused within the bound on memory.
TEST (preset, hostile_frames_are_refused)
{
  // Magic and a frame header that declares 2 MiB of content.
  const std::string bomb ("\x28\xb5\x2f\xfd\xa0\x00\x00\x20\x00\x01\x00\x00",
                          12);
  // The same without a declared size.
  const std::string unsized ("\x28\xb5\x2f\xfd\x00\x58\x01\x00\x00", 9);
  struct eel_document_error error;
  struct eel_document *some = parse (document (3), &error);
  uint8_t *bytes;
  uint8_t *packed;
  size_t byte_count;
  size_t packed_bytes;

  EXPECT_EQ (eel_document_unpack (data (bomb), bomb.size (), nullptr, &bytes,
                                  &byte_count),
             EEL_ERROR_DOCUMENT_TOO_LARGE);
  EXPECT_EQ (eel_document_unpack (data (unsized), unsized.size (), nullptr,
                                  &bytes, &byte_count),
             EEL_ERROR_DOCUMENT_INVALID);
  ASSERT_EQ (eel_document_pack (some, nullptr, &packed, &packed_bytes), EEL_OK);
  for (size_t cut = 0; cut < packed_bytes; cut++)
    EXPECT_NE (eel_document_unpack (packed, cut, nullptr, &bytes, &byte_count),
               EEL_OK);
  for (size_t bit = 0; bit < packed_bytes * 8; bit++)
    {
      packed[bit / 8] ^= 1u << (bit % 8);
      EXPECT_TRUE (eel_document_unpack (packed, packed_bytes, nullptr, &bytes,
                                        &byte_count)
                       != EEL_OK
                   || (byte_count == some->byte_count
                       && memcmp (bytes, some->bytes, byte_count) == 0))
          << bit;
      free (bytes);
      packed[bit / 8] ^= 1u << (bit % 8);
    }
  free (packed);
  eel_document_unref (some);
}
