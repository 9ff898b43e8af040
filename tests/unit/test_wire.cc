#include <gtest/gtest.h>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C"
{
#include "eelgrasslatch/rng.h"
#include "internal/wire.h"
}

namespace
{

using bytes = std::vector<uint8_t>;

bytes
encoded (const struct eel_wire_message *message)
{
  uint8_t *data = nullptr;
  size_t count = 0;

  EXPECT_EQ (eel_wire_encode (message, &data, &count), EEL_OK);
  bytes out (data, data + count);
  std::free (data);
  return out;
}

struct eel_wire_message *
call_message ()
{
  struct eel_wire_message *message = eel_wire_new (EEL_WIRE_CALL);
  struct eel_call *call = eel_call_new ();

  message->from = 3;
  message->from_incarnation = 99;
  message->call_id = 41;
  message->role = EEL_WIRE_EXECUTE;
  message->remaining_us = 250000;
  message->call = call;
  std::strcpy (call->service, "orders");
  std::strcpy (call->method, "POST");
  std::strcpy (call->target, "/orders?x=1");
  call->klass = EEL_CLASS_CRITICAL;
  call->spare = 3;
  call->given = EEL_GIVEN_KEY;
  call->key.issuer = 5;
  call->key.serial = 77;
  call->key.child[0] = 1;
  eel_headers_add (&call->headers, "Content-Type", "text/plain");
  eel_body_set (&call->body, "abc", 3);
  return message;
}

// Builds a message of the given kind with typical content.
struct eel_wire_message *
sample (enum eel_wire_kind kind)
{
  struct eel_wire_message *message;

  if (kind == EEL_WIRE_CALL)
    return call_message ();
  message = eel_wire_new (kind);
  message->from = 3;
  if (kind == EEL_WIRE_REPLY)
    message->answer = eel_answer_error (7, EEL_ERROR_OVERLOADED);
  if (kind == EEL_WIRE_GOSSIP)
    {
      message->gossip->membership.update_count = 1;
      std::strcpy (message->gossip->membership.updates[0].address,
                   "127.0.0.1:7000");
      message->gossip->quarantine_count = 1;
    }
  return message;
}

} // namespace

// Guards against a field that is lost between encoder and decoder.
TEST (wire, call_round_trip)
{
  struct eel_wire_message *message = call_message ();
  struct eel_wire_message *decoded = nullptr;
  bytes data = encoded (message);

  ASSERT_EQ (eel_wire_decode (data.data (), data.size (), 1000, &decoded),
             EEL_OK);
  EXPECT_EQ (decoded->from, 3u);
  EXPECT_EQ (decoded->from_incarnation, 99u);
  EXPECT_EQ (decoded->call_id, 41u);
  EXPECT_EQ (decoded->role, EEL_WIRE_EXECUTE);
  EXPECT_STREQ (decoded->call->service, "orders");
  EXPECT_STREQ (decoded->call->target, "/orders?x=1");
  EXPECT_EQ (decoded->call->deadline_us, 251000);
  EXPECT_TRUE (eel_key_equal (&decoded->call->key, &message->call->key));
  EXPECT_STREQ (eel_headers_get (&decoded->call->headers, "content-type"),
                "text/plain");
  EXPECT_EQ (decoded->call->body.bytes, 3u);
  eel_wire_free (decoded);
  eel_wire_free (message);
}

// Guards against an unsupported version that is decoded as the current one, or
// dropped without an answer.
TEST (wire, unknown_version_is_refused_with_its_sender)
{
  struct eel_wire_message *message = call_message ();
  struct eel_wire_message *decoded = nullptr;

  message->version = EEL_WIRE_VERSION + 1;
  bytes data = encoded (message);
  EXPECT_EQ (eel_wire_decode (data.data (), data.size (), 0, &decoded),
             EEL_ERROR_VERSION_REFUSED);
  ASSERT_NE (decoded, nullptr);
  EXPECT_EQ (decoded->from, 3u);
  EXPECT_EQ (decoded->call_id, 41u);
  eel_wire_free (decoded);
  eel_wire_free (message);
}

// Guards against values over their bound reaching the decision logic.
TEST (wire, values_over_their_bound)
{
  struct wire_case
  {
    const char *name;
    void (*corrupt) (struct eel_call *);
  };
  const wire_case cases[] = {
    { "class", [] (struct eel_call *c) { c->klass = (enum eel_class)9; } },
    { "idempotent", [] (struct eel_call *c) { c->idempotent = 2; } },
    { "class, beside the longest names",
      [] (struct eel_call *c) {
        std::memset (c->service, 'x', sizeof c->service - 1);
        std::memset (c->caller, 'x', sizeof c->caller - 1);
        c->klass = EEL_CLASS_COUNT;
      } },
  };

  for (const wire_case &c : cases)
    {
      struct eel_wire_message *message = call_message ();
      struct eel_wire_message *decoded = nullptr;

      c.corrupt (message->call);
      bytes data = encoded (message);
      EXPECT_EQ (eel_wire_decode (data.data (), data.size (), 0, &decoded),
                 EEL_ERROR_MESSAGE_INVALID)
          << c.name;
      eel_wire_free (decoded);
      eel_wire_free (message);
    }
}

// Guards against crashes and leaks in the decoder on corrupted messages; make
// SANITIZE=1 check runs this under AddressSanitizer.
TEST (wire, corrupted_bytes_never_crash)
{
  struct eel_rng rng;

  eel_rng_init (&rng, 1);
  for (int kind = 0; kind < EEL_WIRE_KIND_COUNT; kind++)
    {
      struct eel_wire_message *message
          = sample (static_cast<enum eel_wire_kind> (kind));
      bytes valid = encoded (message);

      eel_wire_free (message);
      for (int round = 0; round < 2000; round++)
        {
          bytes data = valid;
          struct eel_wire_message *decoded = nullptr;

          for (uint32_t i = eel_rng_below (&rng, 4); i > 0; i--)
            data[eel_rng_below (&rng, (uint32_t)data.size ())]
                = (uint8_t)eel_rng_next (&rng);
          data.resize (eel_rng_below (&rng, (uint32_t)data.size () + 1));
          eel_wire_decode (data.data (), data.size (), 0, &decoded);
          eel_wire_free (decoded);
        }
    }
}

// Guards against an oversized message that is parsed before its size is
// checked.
TEST (wire, oversized_message)
{
  bytes data (EEL_WIRE_BYTES_MAX + 1, 0);
  struct eel_wire_message *decoded = nullptr;

  EXPECT_EQ (eel_wire_decode (data.data (), data.size (), 0, &decoded),
             EEL_ERROR_BODY_TOO_LARGE);
}
