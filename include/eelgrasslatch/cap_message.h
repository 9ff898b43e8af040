#ifndef EELGRASSLATCH_CAP_MESSAGE_H
#define EELGRASSLATCH_CAP_MESSAGE_H

#include <stddef.h>

#include "eelgrasslatch/team_cap.h"

/*
 * Datagrams between nodes and holders of caps; numbers in network order.
 *
 *   ask:   kind, flags, seq (2), nodes (2), group, count; for each team its id
 *          (8) and the tokens
 *   grant: kind, flags, seq (2), group, count; for each team the tokens and the
 *          wait in ms (2); no teams when all is granted in full
 *
 * Tokens take a byte, or two above 127.  The kind holds the version of the
 * format in its upper half; the flags of an ask hold the logarithm of the
 * number of groups in theirs.
 */

#define EEL_CAP_MESSAGE_BYTES_MAX 1024

enum eel_cap_message_kind
{
  EEL_CAP_MESSAGE_INVALID,
  EEL_CAP_MESSAGE_ASK,
  EEL_CAP_MESSAGE_GRANT
};

/* Sequence numbers are cut to this. */
#define EEL_CAP_SEQ_MASK UINT32_C (0xffff)

/* Return the length in bytes. */
size_t eel_cap_ask_encode (const struct eel_cap_ask_message *message,
                           uint8_t *bytes);
size_t eel_cap_grant_encode (const struct eel_cap_grant_message *message,
                             uint8_t *bytes);
enum eel_cap_message_kind eel_cap_message_kind (const uint8_t *bytes,
                                                size_t length);
/* Return 0 when the datagram is not a valid one as a whole. */
int eel_cap_ask_decode (const uint8_t *bytes,
                        size_t length,
                        struct eel_cap_ask_message *message);
int eel_cap_grant_decode (const uint8_t *bytes,
                          size_t length,
                          struct eel_cap_grant_message *message);

#endif
