#ifndef EEL_INTERNAL_CALL_H
#define EEL_INTERNAL_CALL_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/error.h"
#include "eelgrasslatch/key.h"
#include "eelgrasslatch/types.h"

/* Requests and answers as they are passed between tasks. */

/* Limits of a request or an answer. */
#define EEL_HEADERS_MAX 64
#define EEL_HEADER_BYTES_MAX (16 * 1024)
#define EEL_BODY_BYTES_MAX (1024 * 1024)
/* Sizes including the terminating zero. */
#define EEL_METHOD_MAX 8
#define EEL_TARGET_MAX 2048

struct eel_header
{
  char *name;
  char *value;
};

/* Owns its strings. */
struct eel_headers
{
  struct eel_header items[EEL_HEADERS_MAX];
  uint32_t count;
  uint32_t bytes;
};

struct eel_body
{
  uint8_t *data;
  size_t bytes;
};

/* Bits of eel_call.given: the fields that the caller specified. */
#define EEL_GIVEN_CLASS 1u
#define EEL_GIVEN_IDEMPOTENT 2u
#define EEL_GIVEN_KEY 4u
#define EEL_GIVEN_DEADLINE 8u
#define EEL_GIVEN_SPARE 16u

/* Created by the front task or the peer codec; freed with eel_call_free. */
struct eel_call
{
  /* Assigned by the task that created the call. */
  uint64_t id;
  uint32_t given;
  char service[EEL_SERVICE_MAX];
  char method[EEL_METHOD_MAX];
  char target[EEL_TARGET_MAX];
  char caller[EEL_CALLER_MAX];
  char label[EEL_LABEL_MAX];
  /* Call id of the parent at this node's upstream, or 0. */
  uint64_t parent;
  enum eel_class klass;
  uint8_t idempotent;
  uint8_t nested;
  /* Spare attempts: the caller's limit, or those that the sender lends. */
  uint8_t spare;
  uint8_t attempt;
  struct eel_key key;
  uint8_t has_root;
  struct eel_key root;
  uint64_t fingerprint;
  int64_t arrived_us;
  /* In this process's monotonic clock. */
  int64_t deadline_us;
  uint64_t revision;
  /* End-to-end headers to forward, without the Eel-* headers. */
  struct eel_headers headers;
  struct eel_body body;
};

struct eel_answer
{
  uint64_t call_id;
  enum eel_error error;
  enum eel_outcome outcome;
  enum eel_retry_advice retry;
  uint32_t retry_after_ms;
  /* HTTP status of the upstream, or of the error table. */
  uint16_t status;
  /* Spare attempts returned to the sender of the call. */
  uint8_t spare;
  uint64_t revision;
  struct eel_load load;
  char next_key[EEL_KEY_TEXT_MAX];
  struct eel_headers headers;
  struct eel_body body;
};

struct eel_call *eel_call_new (void);
void eel_call_free (struct eel_call *call);
struct eel_answer *eel_answer_new (uint64_t call_id);
/* Returns an answer filled from the error table, with a one-line text body. */
struct eel_answer *eel_answer_error (uint64_t call_id, enum eel_error kind);
void eel_answer_free (struct eel_answer *answer);
/*
 * Adds a copy.  Returns EEL_ERROR_HEADER_TOO_LARGE when a limit on the headers
 * would be exceeded, EEL_ERROR_INTERNAL if out of memory.
 */
enum eel_error eel_headers_add (struct eel_headers *headers,
                                const char *name,
                                const char *value);
const char *eel_headers_get (const struct eel_headers *headers,
                             const char *name);
void eel_headers_finish (struct eel_headers *headers);
enum eel_error
eel_body_set (struct eel_body *body, const void *data, size_t bytes);

#endif
