#ifndef EELGRASSLATCH_PRESET_H
#define EELGRASSLATCH_PRESET_H

#include <stddef.h>
#include <stdint.h>

#include "eelgrasslatch/admission.h"
#include "eelgrasslatch/error.h"
#include "eelgrasslatch/routing.h"
#include "eelgrasslatch/types.h"

#define EEL_DOCUMENT_BYTES_MAX (1024 * 1024)
#define EEL_DOCUMENT_HASH_BYTES 32
#define EEL_DOCUMENT_FORMAT 1
#define EEL_PRESET_NAME_MAX 32
#define EEL_PRESETS_MAX 16
#define EEL_RULES_MAX 4096
#define EEL_PATH_MAX 256
#define EEL_RULE_HEADS 256

/* Total order of documents: revision first, then the hash of the bytes. */
struct eel_revision
{
  uint64_t number;
  uint8_t hash[EEL_DOCUMENT_HASH_BYTES];
};

/* Settings of one preset; the parser checks the range of each. */
struct eel_preset
{
  char name[EEL_PRESET_NAME_MAX];
  uint32_t spare_attempts_max;
  int64_t deadline_default_ms;
  int64_t deadline_max_ms;
  int64_t key_life_ms;
  uint32_t queue_max;
  int64_t queue_target_ms;
  uint32_t long_factor;
  uint32_t long_share_max_percent;
  uint32_t caller_share_percent;
  uint32_t retry_budget_permille;
  uint32_t hedge_share_permille;
  uint32_t ejected_max_percent;
  uint32_t straggler_factor;
  int64_t ramp_ms;
  uint32_t spill_percent;
  /* Classes from this one on are refused; EEL_CLASS_COUNT for none. */
  enum eel_class refuse_from_class;
};

/* Class and idempotence of calls whose headers do not set them. */
struct eel_rule
{
  char service[EEL_SERVICE_MAX];
  /* Empty matches every method. */
  char method[8];
  char path_prefix[EEL_PATH_MAX];
  enum eel_class klass;
  uint8_t idempotent;
};

struct eel_document
{
  struct eel_revision revision;
  struct eel_preset presets[EEL_PRESETS_MAX];
  uint32_t preset_count;
  uint32_t in_force;
  struct eel_rule *rules;
  uint32_t rule_count;
  /* Chains of the rules by service; numbers are index + 1, 0 ends a chain. */
  uint32_t *rule_next;
  uint32_t rule_heads[EEL_RULE_HEADS];
  uint32_t references;
  /* The exact bytes that were accepted. */
  uint8_t *bytes;
  size_t byte_count;
};

/* Text of a refusal: names the key, the line and the allowed range. */
struct eel_document_error
{
  enum eel_error kind;
  uint32_t line;
  char text[256];
};

/*
 * Parses and checks a document; a pure function of the bytes.  Returns a
 * document with one reference, or NULL with *error set.
 */
struct eel_document *eel_document_parse (const uint8_t *bytes,
                                         size_t byte_count,
                                         struct eel_document_error *error);
/* The built-in document with revision 0, used until one is accepted. */
struct eel_document *eel_document_builtin (void);
struct eel_document *eel_document_ref (struct eel_document *document);
void eel_document_unref (struct eel_document *document);
const struct eel_preset *
eel_document_preset (const struct eel_document *document);
/* First rule that matches, or NULL. */
const struct eel_rule *eel_document_rule (const struct eel_document *document,
                                          const char *service,
                                          const char *method,
                                          const char *path);
int eel_revision_compare (const struct eel_revision *a,
                          const struct eel_revision *b);
void eel_revision_text (const struct eel_revision *revision, char text[32]);

/* Document in force in this process; its revision never decreases. */
struct eel_preset_store
{
  struct eel_document *current;
  struct eel_document *previous;
  uint64_t accepted;
  uint64_t refused;
  uint64_t older;
  uint64_t conflicts;
};

enum eel_store_result
{
  EEL_STORE_ACCEPTED,
  EEL_STORE_SAME,
  EEL_STORE_OLDER,
  /* Same revision, other bytes, greater hash: accepted, to be reported. */
  EEL_STORE_CONFLICT_ACCEPTED,
  /* Same revision, other bytes, lower hash: not accepted, to be reported. */
  EEL_STORE_CONFLICT_KEPT,
  EEL_STORE_REFUSED
};

void eel_preset_store_init (struct eel_preset_store *store);
void eel_preset_store_finish (struct eel_preset_store *store);
enum eel_store_result eel_preset_store_offer (struct eel_preset_store *store,
                                              const uint8_t *bytes,
                                              size_t byte_count,
                                              struct eel_document_error *error);

/*
 * Transfer form: a zstd frame, compressed against the base's bytes when base
 * is not NULL.  *out is allocated with malloc.  eel_document_unpack refuses
 * results over EEL_DOCUMENT_BYTES_MAX.
 */
enum eel_error eel_document_pack (const struct eel_document *document,
                                  const struct eel_document *base,
                                  uint8_t **out,
                                  size_t *out_bytes);
enum eel_error eel_document_unpack (const uint8_t *packed,
                                    size_t packed_bytes,
                                    const struct eel_document *base,
                                    uint8_t **out,
                                    size_t *out_bytes);

#endif
