#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

/* An entry with the revision in force at its node when it was recorded. */
struct trail_entry
{
  JsonObject *object;
  guint64 revision;
};

static void
entry_free (gpointer data)
{
  struct trail_entry *entry = data;

  json_object_unref (entry->object);
  g_free (entry);
}

static gint64
int_member (const struct trail_entry *entry, const char *member)
{
  return json_object_get_int_member_with_default (entry->object, member, 0);
}

/*
 * Orders by revision first, which is the same on all nodes while their clocks
 * differ, then by time, node and sequence number, which makes the order total.
 */
static gint
entry_compare (gconstpointer a, gconstpointer b)
{
  static const char *const members[] = { "wall_ms", "node", "sequence" };
  const struct trail_entry *x = *(struct trail_entry *const *)a;
  const struct trail_entry *y = *(struct trail_entry *const *)b;

  if (x->revision != y->revision)
    return x->revision < y->revision ? -1 : 1;
  for (guint i = 0; i < G_N_ELEMENTS (members); i++)
    {
      gint64 left = int_member (x, members[i]);
      gint64 right = int_member (y, members[i]);

      if (left != right)
        return left < right ? -1 : 1;
    }
  return 0;
}

static void
append_line (GPtrArray *trail, const char *line, guint64 *revision)
{
  JsonNode *root = json_from_string (line, NULL);
  struct trail_entry *entry;
  const char *kind;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      if (root != NULL)
        json_node_unref (root);
      return;
    }
  entry = g_new0 (struct trail_entry, 1);
  entry->object = json_object_ref (json_node_get_object (root));
  kind = json_object_get_string_member_with_default (entry->object, "kind", "");
  if (strcmp (kind, "preset") == 0)
    *revision = g_ascii_strtoull (json_object_get_string_member_with_default (
                                      entry->object, "after", "0"),
                                  NULL, 10);
  entry->revision = *revision;
  g_ptr_array_add (trail, entry);
  json_node_unref (root);
}

static void
append_trail (GPtrArray *trail, const char *body)
{
  char **lines = g_strsplit (body, "\n", -1);
  guint64 revision = 0;

  for (char **line = lines; *line != NULL; line++)
    if (**line != 0)
      append_line (trail, *line, &revision);
  g_strfreev (lines);
}

static void
print_trail (const struct ctl_options *options, GPtrArray *trail)
{
  JsonArray *rows = json_array_new ();

  for (guint i = 0; i < trail->len; i++)
    {
      struct trail_entry *entry = trail->pdata[i];

      json_array_add_object_element (rows, json_object_ref (entry->object));
      if (options->json)
        {
          JsonNode *node
              = json_node_init_object (json_node_alloc (), entry->object);
          char *text = json_to_string (node, FALSE);

          printf ("%s\n", text);
          g_free (text);
          json_node_free (node);
        }
    }
  if (!options->json)
    ctl_print_rows (rows);
  json_array_unref (rows);
}

/* Prints the audit trails of all nodes in one merged order. */
enum ctl_exit
ctl_audit (const struct ctl_options *options)
{
  GPtrArray *trail = g_ptr_array_new_with_free_func (entry_free);
  enum ctl_exit worst = CTL_OK;

  for (char **node = options->nodes; *node != NULL; node++)
    {
      struct ctl_reply reply = { 0 };
      enum ctl_exit code;

      ctl_fetch (options, *node, "/audit?from=0", &reply);
      code = ctl_reply_exit_code (*node, &reply);
      worst = MAX (worst, code);
      if (code == CTL_OK)
        append_trail (trail, reply.body);
      ctl_reply_clear (&reply);
    }
  g_ptr_array_sort (trail, entry_compare);
  print_trail (options, trail);
  g_ptr_array_free (trail, TRUE);
  return worst;
}
