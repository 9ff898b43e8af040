#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "eelgrasslatch/preset.h"

#define POLL_INTERVAL_US (200 * 1000)

/* Checks a document with the parser that the nodes use. */
enum ctl_exit
ctl_preset_check (const char *file)
{
  struct eel_document_error error = { 0 };
  struct eel_document *document;
  GError *gerror = NULL;
  char *bytes = NULL;
  gsize count = 0;
  char revision[32];

  if (!g_file_get_contents (file, &bytes, &count, &gerror))
    {
      fprintf (stderr, "%s: %s\n", file, gerror->message);
      g_error_free (gerror);
      return CTL_FAILED;
    }
  document = eel_document_parse ((const uint8_t *)bytes, count, &error);
  g_free (bytes);
  if (document == NULL)
    {
      fprintf (stderr, "%s: %s\n", file, error.text);
      return CTL_FAILED;
    }
  eel_revision_text (&document->revision, revision);
  printf ("%s: valid, revision %s, preset in force %s\n", file, revision,
          eel_document_preset (document)->name);
  eel_document_unref (document);
  return CTL_OK;
}

/* Returns 0 when the node is unreachable or its reply is not valid. */
static int
read_revision (const struct ctl_options *options,
               const char *node,
               uint64_t *number)
{
  struct ctl_reply reply = { 0 };
  JsonNode *root = NULL;
  int valid = 0;

  ctl_fetch (options, node, "/preset", &reply);
  if (reply.status == 200)
    root = json_from_string (reply.body, NULL);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      const char *text = json_object_get_string_member_with_default (
          json_node_get_object (root), "revision", "0");

      *number = g_ascii_strtoull (text, NULL, 10);
      valid = 1;
    }
  if (root != NULL)
    json_node_unref (root);
  ctl_reply_clear (&reply);
  return valid;
}

struct wait_state
{
  gboolean *in_force;
  guint pending;
  guint unreachable;
};

static void
poll_nodes (const struct ctl_options *options,
            uint64_t target,
            struct wait_state *state)
{
  state->pending = 0;
  state->unreachable = 0;
  for (guint i = 0; options->nodes[i] != NULL; i++)
    {
      uint64_t number = 0;

      if (state->in_force[i])
        continue;
      if (!read_revision (options, options->nodes[i], &number))
        state->unreachable++;
      else if (number >= target)
        {
          state->in_force[i] = TRUE;
          printf ("%s: revision %" G_GUINT64_FORMAT " in force\n",
                  options->nodes[i], number);
        }
      else
        state->pending++;
    }
}

static void
print_not_in_force (const struct ctl_options *options,
                    const struct wait_state *state)
{
  for (guint i = 0; options->nodes[i] != NULL; i++)
    if (!state->in_force[i])
      printf ("%s: not in force\n", options->nodes[i]);
}

/*
 * Waits until a revision is in force at every node or the timeout has passed.
 * On a timeout CTL_NOT_IN_FORCE takes precedence over CTL_UNREACHABLE.
 */
enum ctl_exit
ctl_preset_wait (const struct ctl_options *options, const char *revision)
{
  gint64 deadline_us = g_get_monotonic_time () + options->timeout_ms * 1000LL;
  uint64_t target = g_ascii_strtoull (revision, NULL, 10);
  struct wait_state state = { 0 };
  enum ctl_exit code = CTL_OK;

  state.in_force = g_new0 (gboolean, g_strv_length (options->nodes) + 1);
  for (;;)
    {
      poll_nodes (options, target, &state);
      if (state.pending + state.unreachable == 0
          || g_get_monotonic_time () >= deadline_us)
        break;
      g_usleep (POLL_INTERVAL_US);
    }
  print_not_in_force (options, &state);
  if (state.pending > 0)
    code = CTL_NOT_IN_FORCE;
  else if (state.unreachable > 0)
    code = CTL_UNREACHABLE;
  g_free (state.in_force);
  return code;
}
