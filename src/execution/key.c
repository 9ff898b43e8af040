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

/* Writes a value in big endian; returns the position after it. */
static uint8_t *
put_be (uint8_t *out, uint64_t value, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    out[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
  return out + bytes;
}

/* Reads a big-endian value and advances *in past it. */
static uint64_t
get_be (const uint8_t **in, size_t bytes)
{
  uint64_t value = 0;

  for (size_t i = 0; i < bytes; i++)
    value = value << 8 | (*in)[i];
  *in += bytes;
  return value;
}

/* Encodes all fields but the MAC. */
static void
encode_signed_fields (const struct eel_key *key, uint8_t out[SIGNED_BYTES])
{
  out = put_be (out, KEY_VERSION, 1);
  out = put_be (out, key->issuer, 4);
  out = put_be (out, key->incarnation, 8);
  out = put_be (out, (uint64_t)key->expiry_us, 8);
  out = put_be (out, key->serial, 8);
  out = put_be (out, key->spare, 1);
  memcpy (out, key->child, EEL_KEY_CHILD_BYTES);
}

/* Keyed BLAKE2b over the signed fields. */
static void
compute_mac (const struct eel_key *key,
             const uint8_t secret[EEL_KEY_SECRET_BYTES],
             uint8_t out[EEL_KEY_MAC_BYTES])
{
  uint8_t packed[SIGNED_BYTES];

  encode_signed_fields (key, packed);
  crypto_generichash (out, EEL_KEY_MAC_BYTES, packed, sizeof packed, secret,
                      EEL_KEY_SECRET_BYTES);
}

/* Sets the MAC; call it after any other field has changed. */
void
eel_key_sign (struct eel_key *key, const uint8_t secret[EEL_KEY_SECRET_BYTES])
{
  compute_mac (key, secret, key->mac);
}

/* Returns 1 when the MAC matches; compares in constant time. */
int
eel_key_verify (const struct eel_key *key,
                const uint8_t secret[EEL_KEY_SECRET_BYTES])
{
  uint8_t expected[EEL_KEY_MAC_BYTES];

  compute_mac (key, secret, expected);
  return sodium_memcmp (expected, key->mac, sizeof expected) == 0;
}

/* Writes base64url text; returns its length without the terminating zero. */
size_t
eel_key_encode (const struct eel_key *key, char text[EEL_KEY_TEXT_MAX])
{
  uint8_t packed[KEY_BYTES];

  encode_signed_fields (key, packed);
  memcpy (packed + SIGNED_BYTES, key->mac, EEL_KEY_MAC_BYTES);
  sodium_bin2base64 (text, EEL_KEY_TEXT_MAX, packed, sizeof packed, ENCODING);
  return strlen (text);
}

/*
 * Decodes the text form without checking the MAC: only the issuing process has
 * the state that decides whether a key is valid.
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
      || bytes != KEY_BYTES || get_be (&in, 1) != KEY_VERSION)
    return EEL_ERROR_KEY_INVALID;
  key->issuer = (uint32_t)get_be (&in, 4);
  key->incarnation = get_be (&in, 8);
  key->expiry_us = (int64_t)get_be (&in, 8);
  key->serial = get_be (&in, 8);
  key->spare = (uint8_t)get_be (&in, 1);
  memcpy (key->child, in, EEL_KEY_CHILD_BYTES);
  memcpy (key->mac, in + EEL_KEY_CHILD_BYTES, EEL_KEY_MAC_BYTES);
  return EEL_OK;
}

/*
 * Derives the key of a nested call.  The digest covers the parent's digest,
 * so equal labels under different parents give different keys, and the same
 * label under a re-executed parent gives the same key.  The key carries no
 * spare attempts: a nested call uses those that its parent lends it.
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

/* Returns 1 when both keys identify the same request. */
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
