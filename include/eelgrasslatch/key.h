#ifndef EELGRASSLATCH_KEY_H
#define EELGRASSLATCH_KEY_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/error.h"

#define EEL_KEY_SECRET_BYTES 32
#define EEL_KEY_MAC_BYTES 16
#define EEL_KEY_CHILD_BYTES 16
/* Room for the text form with its terminating zero. */
#define EEL_KEY_TEXT_MAX 128

/*
 * A request key names the only process that may decide about it: the node
 * that issued it, in the incarnation that issued it.
 */
struct eel_key
{
  uint32_t issuer;
  uint64_t incarnation;
  /* In the issuer's own monotonic clock; no other process interprets it. */
  int64_t expiry_us;
  uint64_t serial;
  uint8_t spare;
  /* All zero for a root key. */
  uint8_t child[EEL_KEY_CHILD_BYTES];
  uint8_t mac[EEL_KEY_MAC_BYTES];
};

void eel_key_sign (struct eel_key *key,
                   const uint8_t secret[EEL_KEY_SECRET_BYTES]);
int eel_key_verify (const struct eel_key *key,
                    const uint8_t secret[EEL_KEY_SECRET_BYTES]);
size_t eel_key_encode (const struct eel_key *key, char text[EEL_KEY_TEXT_MAX]);
enum eel_error eel_key_decode (struct eel_key *key, const char *text);
void eel_key_derive_child (struct eel_key *child,
                           const struct eel_key *parent,
                           const char *label,
                           size_t label_bytes,
                           const uint8_t secret[EEL_KEY_SECRET_BYTES]);
int eel_key_equal (const struct eel_key *a, const struct eel_key *b);
int eel_key_is_root (const struct eel_key *key);

#endif
