#include "eelgrasslatch/key.h"

#include <sodium.h>
#include <string.h>

/*
 * Binary form, big endian: version 1, issuer 4, incarnation 8, expiry 8,
 * serial 8, spare 1, child digest 16, MAC 16.
 */
#define KEY_VERSION 1
#define SIGNED_BYTES 46
#define KEY_BYTES (SIGNED_BYTES + EEL_KEY_MAC_BYTES)
#define ENCODING sodium_base64_VARIANT_URLSAFE_NO_PADDING

_Static_assert(sodium_base64_ENCODED_LEN (KEY_BYTES, ENCODING)
                   <= EEL_KEY_TEXT_MAX,
               "the text form fits its buffer");

/* Writes the low bytes of a value in big endian; returns the next place. */
static uint8_t *
put (uint8_t *out, uint64_t value, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    out[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
  return out + bytes;
}

/* Reads a big-endian value and moves *in past it. */
static uint64_t
get (const uint8_t **in, size_t bytes)
{
  uint64_t value = 0;

  for (size_t i = 0; i < bytes; i++)
    value = value << 8 | (*in)[i];
  *in += bytes;
  return value;
}

/* Writes everything but the MAC. */
static void
pack (const struct eel_key *key, uint8_t out[SIGNED_BYTES])
{
  out = put (out, KEY_VERSION, 1);
  out = put (out, key->issuer, 4);
  out = put (out, key->incarnation, 8);
  out = put (out, (uint64_t)key->expiry_us, 8);
  out = put (out, key->serial, 8);
  out = put (out, key->spare, 1);
  memcpy (out, key->child, EEL_KEY_CHILD_BYTES);
}

/* Computes the MAC (keyed BLAKE2b) of a key. */
static void
mac (const struct eel_key *key,
     const uint8_t secret[EEL_KEY_SECRET_BYTES],
     uint8_t out[EEL_KEY_MAC_BYTES])
{
  uint8_t packed[SIGNED_BYTES];

  pack (key, packed);
  crypto_generichash (out, EEL_KEY_MAC_BYTES, packed, sizeof packed, secret,
                      EEL_KEY_SECRET_BYTES);
}

/* Sets the MAC after any other field has changed. */
void
eel_key_sign (struct eel_key *key, const uint8_t secret[EEL_KEY_SECRET_BYTES])
{
  mac (key, secret, key->mac);
}

/* Returns 1 when the MAC fits; compares in constant time. */
int
eel_key_verify (const struct eel_key *key,
                const uint8_t secret[EEL_KEY_SECRET_BYTES])
{
  uint8_t expected[EEL_KEY_MAC_BYTES];

  mac (key, secret, expected);
  return sodium_memcmp (expected, key->mac, sizeof expected) == 0;
}

/* Writes the base64url text; returns its length without the zero. */
size_t
eel_key_encode (const struct eel_key *key, char text[EEL_KEY_TEXT_MAX])
{
  uint8_t packed[KEY_BYTES];

  pack (key, packed);
  memcpy (packed + SIGNED_BYTES, key->mac, EEL_KEY_MAC_BYTES);
  sodium_bin2base64 (text, EEL_KEY_TEXT_MAX, packed, sizeof packed, ENCODING);
  return strlen (text);
}

/*
 * Reads the text form.  The MAC is not checked: only the issuer's process
 * holds the other facts that make a key valid.
 */
enum eel_error
eel_key_decode (struct eel_key *key, const char *text)
{
  uint8_t packed[KEY_BYTES];
  const uint8_t *in = packed;
  size_t bytes = 0;

  memset (key, 0, sizeof *key);
  if (sodium_base642bin (packed, sizeof packed, text, strlen (text), NULL,
                         &bytes, NULL, ENCODING)
          != 0
      || bytes != KEY_BYTES || get (&in, 1) != KEY_VERSION)
    return EEL_ERROR_KEY_INVALID;
  key->issuer = (uint32_t)get (&in, 4);
  key->incarnation = get (&in, 8);
  key->expiry_us = (int64_t)get (&in, 8);
  key->serial = get (&in, 8);
  key->spare = (uint8_t)get (&in, 1);
  memcpy (key->child, in, EEL_KEY_CHILD_BYTES);
  memcpy (key->mac, in + EEL_KEY_CHILD_BYTES, EEL_KEY_MAC_BYTES);
  return EEL_OK;
}

/*
 * Derives the key of a nested call.  The digest covers the parent's digest,
 * so equal labels under different parents stay apart, and the same label
 * under a re-executed parent gives the same key.  It carries no spare
 * attempts: those of a nested call are lent by its parent.
 */
void
eel_key_derive_child (struct eel_key *child,
                      const struct eel_key *parent,
                      const char *label,
                      size_t label_bytes,
                      const uint8_t secret[EEL_KEY_SECRET_BYTES])
{
  crypto_generichash_state state;
  struct eel_key derived = *parent;

  crypto_generichash_init (&state, secret, EEL_KEY_SECRET_BYTES,
                           EEL_KEY_CHILD_BYTES);
  crypto_generichash_update (&state, parent->child, EEL_KEY_CHILD_BYTES);
  crypto_generichash_update (&state, (const uint8_t *)label, label_bytes);
  crypto_generichash_final (&state, derived.child, EEL_KEY_CHILD_BYTES);
  /* All zero is reserved for root keys. */
  if (eel_key_is_root (&derived))
    derived.child[0] = 1;
  derived.spare = 0;
  eel_key_sign (&derived, secret);
  *child = derived;
}

/* Returns 1 when both name the same request. */
int
eel_key_equal (const struct eel_key *a, const struct eel_key *b)
{
  return a->serial == b->serial && a->issuer == b->issuer
         && a->incarnation == b->incarnation
         && memcmp (a->child, b->child, EEL_KEY_CHILD_BYTES) == 0;
}

/* Returns 1 for a key that was issued, 0 for a derived one. */
int
eel_key_is_root (const struct eel_key *key)
{
  return sodium_is_zero (key->child, EEL_KEY_CHILD_BYTES);
}
