#ifndef EEL_CTL_CTL_H
#define EEL_CTL_CTL_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>

/* Exit codes, as in the manual page. */
enum ctl_exit
{
  CTL_OK = 0,
  /* A node answered with an error, or a check failed. */
  CTL_FAILED = 1,
  /* A reachable node does not have the awaited revision in force. */
  CTL_NOT_IN_FORCE = 2,
  /* At least one node could not be reached. */
  CTL_UNREACHABLE = 3,
  CTL_USAGE = 64
};

struct ctl_options
{
  /* Admin addresses of the nodes, "host:port", terminated by NULL. */
  char **nodes;
  char *token;
  gboolean json;
  int timeout_ms;
};

struct ctl_reply
{
  /* 0 when the node could not be reached. */
  int status;
  char *body;
};

/* fetch.c */
void ctl_fetch (const struct ctl_options *options,
                const char *node,
                const char *path,
                struct ctl_reply *reply);
void ctl_reply_clear (struct ctl_reply *reply);
enum ctl_exit ctl_reply_exit_code (const char *node,
                                   const struct ctl_reply *reply);

/* table.c */
void ctl_print_rows (JsonArray *rows);
JsonArray *ctl_json_rows (JsonNode *root, const char *member);

/* show.c */
enum ctl_exit ctl_show (const struct ctl_options *options,
                        const char *path,
                        const char *member);
enum ctl_exit ctl_metrics (const struct ctl_options *options);

/* preset.c */
enum ctl_exit ctl_preset_check (const char *file);
enum ctl_exit ctl_preset_wait (const struct ctl_options *options,
                               const char *revision);

/* audit.c */
enum ctl_exit ctl_audit (const struct ctl_options *options);

/* keygen.c */
enum ctl_exit ctl_keygen (void);

#endif
