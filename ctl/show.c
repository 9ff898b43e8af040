#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

static void
append_rows (JsonArray *all,
             const char *node,
             const char *body,
             const char *member)
{
  JsonNode *root = json_from_string (body, NULL);
  JsonArray *rows = root != NULL ? ctl_json_rows (root, member) : NULL;

  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);

      /* Rows of a list name the node that reported them. */
      if (member != NULL && !json_object_has_member (row, "seen_by"))
        json_object_set_string_member (row, "seen_by", node);
      json_array_add_object_element (all, json_object_ref (row));
    }
  if (rows != NULL)
    json_array_unref (rows);
  if (root != NULL)
    json_node_unref (root);
}

/* Queries one path of all nodes; prints a table or JSON lines. */
enum ctl_exit
ctl_show (const struct ctl_options *options,
          const char *path,
          const char *member)
{
  JsonArray *all = json_array_new ();
  enum ctl_exit worst = CTL_OK;

  for (char **node = options->nodes; *node != NULL; node++)
    {
      struct ctl_reply reply = { 0 };
      enum ctl_exit code;

      ctl_fetch (options, *node, path, &reply);
      code = ctl_reply_exit_code (*node, &reply);
      worst = MAX (worst, code);
      if (code == CTL_OK && options->json)
        printf ("%s\n", g_strchomp (reply.body));
      else if (code == CTL_OK)
        append_rows (all, *node, reply.body, member);
      ctl_reply_clear (&reply);
    }
  if (!options->json)
    ctl_print_rows (all);
  json_array_unref (all);
  return worst;
}

/* Prints the metrics of each node after a comment line with its address. */
enum ctl_exit
ctl_metrics (const struct ctl_options *options)
{
  enum ctl_exit worst = CTL_OK;

  for (char **node = options->nodes; *node != NULL; node++)
    {
      struct ctl_reply reply = { 0 };
      enum ctl_exit code;

      ctl_fetch (options, *node, "/metrics", &reply);
      code = ctl_reply_exit_code (*node, &reply);
      worst = MAX (worst, code);
      if (code == CTL_OK)
        printf ("# node %s\n%s", *node, reply.body);
      ctl_reply_clear (&reply);
    }
  return worst;
}
