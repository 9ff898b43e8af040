#ifndef EEL_INTERNAL_WIRE_H
#define EEL_INTERNAL_WIRE_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/execution.h"
#include "eelgrasslatch/membership.h"
#include "eelgrasslatch/preset.h"
#include "eelgrasslatch/quarantine.h"
#include "internal/call.h"

/* Messages between nodes; src/wire encodes and decodes them. */

#define EEL_WIRE_VERSION 1
#define EEL_WIRE_VERSION_MIN 1
#define EEL_WIRE_BYTES_MAX (2 * 1024 * 1024)
#define EEL_WIRE_QUARANTINE_MAX 8

enum eel_wire_kind
{
  EEL_WIRE_CALL,
  EEL_WIRE_REPLY,
  EEL_WIRE_SEAL,
  EEL_WIRE_SEALED,
  EEL_WIRE_CANCEL,
  EEL_WIRE_GOSSIP,
  EEL_WIRE_DOCUMENT_REQUEST,
  EEL_WIRE_DOCUMENT,
  EEL_WIRE_LEAVING,
  EEL_WIRE_VERSION_REFUSED,
  EEL_WIRE_KIND_COUNT
};

enum eel_wire_call_role
{
  /* The receiver issued the key and is its decider. */
  EEL_WIRE_DECIDE,
  /* The receiver runs the call at its own upstream. */
  EEL_WIRE_EXECUTE
};

/* Key and attempt of a seal request or its answer. */
struct eel_wire_seal
{
  struct eel_key key;
  uint8_t attempt;
  /* On the receiver's clock; for a receiver without a record of the key. */
  int64_t valid_until_us;
  /* An enum eel_executor_state; only in EEL_WIRE_SEALED. */
  uint8_t state;
};

struct eel_wire_document
{
  /* Revision that the sender has (request), or of the unpacked document. */
  struct eel_revision revision;
  /* Base of the delta; all zero when the packed bytes are not a delta. */
  struct eel_revision base;
  uint8_t *packed;
  size_t packed_bytes;
};

/* A gossip message: the membership part and the state piggybacked on it. */
struct eel_wire_gossip
{
  struct eel_gossip membership;
  struct eel_revision revision;
  struct eel_load load;
  uint32_t quarantine_count;
  /* Here expires_us is the time left, not a point in time. */
  struct eel_quarantine_entry quarantine[EEL_WIRE_QUARANTINE_MAX];
};

struct eel_wire_message
{
  enum eel_wire_kind kind;
  uint32_t version;
  uint32_t from;
  uint64_t from_incarnation;
  /* Send time on the sender's monotonic clock. */
  int64_t sent_us;
  /* Call id at the node that sent the call. */
  uint64_t call_id;
  /*
   * CALL: role, end of validity on the receiver's clock, and the receiver's
   * incarnation.
   */
  enum eel_wire_call_role role;
  int64_t valid_until_us;
  uint64_t to_incarnation;
  /* CALL: time left when sent; the decoder adds the receiver's current time. */
  int64_t remaining_us;
  struct eel_call *call;
  struct eel_answer *answer;
  struct eel_wire_seal seal;
  struct eel_wire_gossip *gossip;
  struct eel_wire_document document;
  /* LEAVING: drain state.  VERSION_REFUSED: lowest and highest version. */
  uint32_t value;
  uint32_t value_max;
};

struct eel_wire_message *eel_wire_new (enum eel_wire_kind kind);
void eel_wire_free (struct eel_wire_message *message);
/* On success *out is allocated with malloc; the caller frees it. */
enum eel_error eel_wire_encode (const struct eel_wire_message *message,
                                uint8_t **out,
                                size_t *out_bytes);
/*
 * Checks every length, count and enum.  With EEL_ERROR_VERSION_REFUSED, *out is
 * still set and has the sender and its version, so that the sender can be
 * answered.
 */
enum eel_error eel_wire_decode (const uint8_t *data,
                                size_t bytes,
                                int64_t now_us,
                                struct eel_wire_message **out);

#endif
