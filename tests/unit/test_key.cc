#include <gtest/gtest.h>
#include <cstring>
#include <string>

extern "C"
{
#include "eelgrasslatch/key.h"
}

namespace
{
const uint8_t secret[EEL_KEY_SECRET_BYTES] = { 1, 2, 3 };

struct eel_key
sample ()
{
  struct eel_key key = {};

  key.issuer = 7;
  key.incarnation = UINT64_C (0x0123456789abcdef);
  key.expiry_us = 5000000;
  key.serial = 42;
  key.spare = 3;
  eel_key_sign (&key, secret);
  return key;
}
}

// Guards against a field lost or changed by encoding and decoding.
TEST (key, text_form_keeps_every_field)
{
  struct eel_key key = sample ();
  struct eel_key read;
  char text[EEL_KEY_TEXT_MAX];
  size_t length = eel_key_encode (&key, text);

  EXPECT_EQ (length, strlen (text));
  ASSERT_EQ (eel_key_decode (&read, text), EEL_OK);
  EXPECT_TRUE (eel_key_equal (&key, &read));
  EXPECT_EQ (read.expiry_us, key.expiry_us);
  EXPECT_EQ (read.spare, key.spare);
  EXPECT_TRUE (eel_key_verify (&read, secret));
}

// Guards against a caller that raises its spare attempts or moves a key to
// another record by changing one character.
TEST (key, any_changed_character_is_refused)
{
  struct eel_key key = sample ();
  char text[EEL_KEY_TEXT_MAX];
  size_t length = eel_key_encode (&key, text);

  for (size_t i = 0; i < length; i++)
    {
      std::string changed (text);
      struct eel_key read;

      changed[i] = changed[i] == 'A' ? 'B' : 'A';
      EXPECT_TRUE (eel_key_decode (&read, changed.c_str ()) != EEL_OK
                   || !eel_key_verify (&read, secret))
          << i;
    }
}

// Guards against malformed text that is accepted or read past its end.
TEST (key, malformed_text_is_refused)
{
  struct eel_key key = sample ();
  char text[EEL_KEY_TEXT_MAX];

  eel_key_encode (&key, text);
  for (const std::string &malformed :
       { std::string (), std::string ("A"), std::string (text, 82),
         std::string (text) + "A", std::string (text) + "=",
         std::string (1000, 'A'), std::string (83, '+'),
         "_" + std::string (text + 1) })
    {
      struct eel_key read;

      EXPECT_EQ (eel_key_decode (&read, malformed.c_str ()),
                 EEL_ERROR_KEY_INVALID)
          << malformed;
    }
}

// Guards against two nested calls sharing a key, and one call having two.
TEST (key, child_depends_on_parent_and_label)
{
  struct eel_key root = sample ();
  struct eel_key a, again, b, below;

  eel_key_derive_child (&a, &root, "charge", 6, secret);
  eel_key_derive_child (&again, &root, "charge", 6, secret);
  eel_key_derive_child (&b, &root, "label", 5, secret);
  eel_key_derive_child (&below, &a, "charge", 6, secret);
  EXPECT_TRUE (eel_key_equal (&a, &again));
  EXPECT_FALSE (eel_key_equal (&a, &b));
  EXPECT_FALSE (eel_key_equal (&a, &below));
  EXPECT_FALSE (eel_key_equal (&a, &root));
  EXPECT_TRUE (eel_key_is_root (&root));
  EXPECT_FALSE (eel_key_is_root (&a));
  EXPECT_TRUE (eel_key_verify (&a, secret));
  EXPECT_EQ (a.issuer, root.issuer);
  EXPECT_EQ (a.spare, 0);
}
