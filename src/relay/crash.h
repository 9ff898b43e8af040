#ifndef EEL_RELAY_CRASH_H
#define EEL_RELAY_CRASH_H

#include <stddef.h>
#include <stdint.h>
/* For a hash state in memory that the caller owns. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

/* Detects requests that crash endpoints and shares them between nodes. */

struct eel_head;
struct eel_relay;
struct evbuffer;

/* Bytes of a body that tell requests apart; of a longer one its declared length
   counts too.  A node holds no more than this of a body. */
#define EEL_CRASH_BODY_BYTES 65536
/* Set in the fingerprints of requests that have a body. */
#define EEL_CRASH_HAS_BODY UINT64_C (1)

/* Hash of what a request that is sent again has in common with the first one:
   caller service, method, target and body. */
struct eel_crash_content
{
  XXH64_state_t hash;
  uint64_t body_bytes;
  /* 0: not declared. */
  uint64_t declared_bytes;
};

void eel_crash_content_init (struct eel_crash_content *content,
                             const struct eel_head *request,
                             const char *caller_service);
void eel_crash_content_add (struct eel_crash_content *content,
                            const void *data,
                            size_t bytes);
/* Returns the fingerprint of a request whose body is complete; never 0. */
uint64_t
eel_crash_content_fingerprint (const struct eel_crash_content *content);
/* Returns the same as soon as the rest of the body doesn't count, else 0. */
uint64_t eel_crash_content_known (const struct eel_crash_content *content);
/* Writes an Eel-Crashed field for what is known of the request, whose
   fingerprint may be 0, and for the weightiest recent news. */
void eel_crash_write (struct eel_relay *relay,
                      uint64_t fingerprint,
                      struct evbuffer *out);
/* Writes up to max of the entries that changed after that time. */
void eel_crash_write_since (const struct eel_relay *relay,
                            int64_t since_us,
                            size_t max,
                            struct evbuffer *out);
/* Merges the fields of another node's message, if any. */
void eel_crash_read (struct eel_relay *relay, const struct eel_head *head);
/* A request ended with an answer of an endpoint: it is no longer a suspect.
   Returns 1 when it was one. */
int eel_crash_clear_suspect (struct eel_relay *relay, uint64_t fingerprint);
/* True when a request with a body is known to have been in flight at a crash:
   others with bodies have to be told from it. */
int eel_crash_suspects_bodies (const struct eel_relay *relay);
/* Call it when this node's endpoint refuses connections. */
void eel_crash_endpoint_down (struct eel_relay *relay);

#endif
