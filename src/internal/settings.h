#ifndef EEL_INTERNAL_SETTINGS_H
#define EEL_INTERNAL_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/key.h"
#include "eelgrasslatch/types.h"

#define EEL_SEEDS_MAX 64
#define EEL_TOKEN_MAX 128
#define EEL_PATH_BYTES 128
/* Z85 text of a CURVE key with its terminating zero. */
#define EEL_CURVE_TEXT_BYTES 41

/* A numeric IPv4 address in text form and a port: "127.0.0.1", 8080. */
struct eel_endpoint_address
{
  char host[EEL_ADDRESS_MAX];
  uint16_t port;
};

/* A node from the settings, contacted to join the other nodes. */
struct eel_seed
{
  uint32_t node;
  struct eel_endpoint_address address;
};

struct eel_curve_pair
{
  char public_key[EEL_CURVE_TEXT_BYTES];
  char secret_key[EEL_CURVE_TEXT_BYTES];
};

/* Settings of one node, read once at start-up. */
struct eel_settings
{
  uint32_t node;
  char domain[EEL_DOMAIN_MAX];
  char region[EEL_DOMAIN_MAX];
  /* Number of the failure domain, the same in the settings of all nodes. */
  uint16_t domain_id;
  char service[EEL_SERVICE_MAX];

  struct eel_endpoint_address front;
  struct eel_endpoint_address peer;
  struct eel_endpoint_address admin;
  char admin_token[EEL_TOKEN_MAX];

  struct eel_endpoint_address upstream;
  uint32_t upstream_slots;
  uint32_t upstream_connections;
  char upstream_health_path[EEL_PATH_BYTES];

  struct eel_endpoint_address platform;
  uint8_t has_platform;

  /*
   * All nodes share one CURVE key pair.  During a key rotation peers with the
   * next pair are accepted too.
   */
  struct eel_curve_pair curve;
  struct eel_curve_pair curve_next;
  uint8_t has_curve_next;
  uint8_t key_secret[EEL_KEY_SECRET_BYTES];

  uint32_t keys_max;
  uint32_t calls_max;
  uint32_t readers_per_domain;
  int64_t probe_interval_ms;
  int64_t drain_ms;

  struct eel_seed seeds[EEL_SEEDS_MAX];
  uint32_t seed_count;
};

struct eel_settings_error
{
  uint32_t line;
  char key[64];
  char text[256];
};

#define EEL_SETTINGS_ERRORS_MAX 32

/*
 * Parses the settings text.  Returns the number of errors found and stores the
 * first errors_max of them, each with its line, key and allowed range.
 * *settings is valid only when 0 is returned.
 */
size_t eel_settings_parse (struct eel_settings *settings,
                           const char *text,
                           size_t bytes,
                           struct eel_settings_error *errors,
                           size_t errors_max);

#endif
