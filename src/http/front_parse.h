#ifndef EEL_HTTP_FRONT_PARSE_H
#define EEL_HTTP_FRONT_PARSE_H

#include <stdint.h>

#include "eelgrasslatch/error.h"
#include "internal/call.h"

/* Upper limits of values in a request. */
#define FRONT_TIMEOUT_MS_MAX 600000
#define FRONT_SPARE_ATTEMPTS_MAX 255
#define FRONT_KEYS_PER_REQUEST_MAX 64

/* Reason for a refusal; text names the header and its limit. */
struct front_refusal
{
  enum eel_error error;
  /*
   * Set when the start of the next request is uncertain: the connection is
   * closed after the answer.
   */
  int close;
  char text[192];
};

void front_refusal_set (struct front_refusal *refusal,
                        enum eel_error error,
                        int close,
                        const char *format,
                        ...) __attribute__ ((format (printf, 4, 5)));

/*
 * Checks the framing fields of a request before its body is read.  Returns 0
 * with *refusal set when they are ambiguous or over a limit.
 */
int front_check_framing (const struct eel_headers *headers,
                         struct front_refusal *refusal);
/*
 * Fills a call from the request's headers.  now_us and wall_ms are the same
 * time on the monotonic and the wall clock.  Returns 0 with *refusal set when a
 * header is refused.
 */
int front_parse_headers (struct eel_call *call,
                         const struct eel_headers *headers,
                         int64_t now_us,
                         int64_t wall_ms,
                         struct front_refusal *refusal);
/*
 * Both copy a valid value into call and return 1, or return 0 with *refusal
 * set.
 */
int front_parse_target (struct eel_call *call,
                        const char *target,
                        struct front_refusal *refusal);
int front_parse_method (struct eel_call *call,
                        const char *method,
                        struct front_refusal *refusal);
/* Parses count in "/eel/v1/keys?count=N"; 0 with *refusal set if invalid. */
int front_parse_key_count (const char *target,
                           uint64_t *count,
                           struct front_refusal *refusal);

#endif
