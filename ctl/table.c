#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

/* Missing and null values give "-". */
static char *
cell_text (JsonObject *row, const char *column)
{
  JsonNode *node = json_object_get_member (row, column);

  if (node == NULL || json_node_is_null (node))
    return g_strdup ("-");
  if (JSON_NODE_HOLDS_VALUE (node)
      && json_node_get_value_type (node) == G_TYPE_STRING)
    return g_strdup (json_node_get_string (node));
  return json_to_string (node, FALSE);
}

static int
has_column (GPtrArray *columns, const char *name)
{
  for (guint i = 0; i < columns->len; i++)
    if (strcmp (columns->pdata[i], name) == 0)
      return 1;
  return 0;
}

/* Tables omit nested objects; --json prints them. */
static int
is_table_column (JsonObject *row, const char *column)
{
  return !JSON_NODE_HOLDS_OBJECT (json_object_get_member (row, column));
}

/* Collects the member names of all rows in the order of their first use. */
static GPtrArray *
collect_columns (JsonArray *rows)
{
  GPtrArray *columns = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      JsonObject *row = json_array_get_object_element (rows, i);
      GList *names = json_object_get_members (row);

      for (GList *name = names; name != NULL; name = name->next)
        if (!has_column (columns, name->data)
            && is_table_column (row, name->data))
          g_ptr_array_add (columns, g_strdup (name->data));
      g_list_free (names);
    }
  return columns;
}

static size_t
column_width (JsonArray *rows, const char *column)
{
  size_t width = strlen (column);

  for (guint i = 0; i < json_array_get_length (rows); i++)
    {
      char *text = cell_text (json_array_get_object_element (rows, i), column);

      width = MAX (width, strlen (text));
      g_free (text);
    }
  return width;
}

static void
print_cell (const char *text, size_t width, int last)
{
  if (last)
    printf ("%s\n", text);
  else
    printf ("%-*s  ", (int)width, text);
}

/* Prints an array of objects as a table with one line per object. */
void
ctl_print_rows (JsonArray *rows)
{
  GPtrArray *columns = collect_columns (rows);
  size_t *widths = g_new0 (size_t, columns->len + 1);

  for (guint c = 0; c < columns->len; c++)
    {
      widths[c] = column_width (rows, columns->pdata[c]);
      print_cell (columns->pdata[c], widths[c], c + 1 == columns->len);
    }
  for (guint r = 0; r < json_array_get_length (rows); r++)
    for (guint c = 0; c < columns->len; c++)
      {
        char *text = cell_text (json_array_get_object_element (rows, r),
                                columns->pdata[c]);

        print_cell (text, widths[c], c + 1 == columns->len);
        g_free (text);
      }
  g_free (widths);
  g_ptr_array_free (columns, TRUE);
}

/*
 * Returns the rows of a reply: the reply if it is an array, the array under
 * member, or the reply as a single row.  Returns NULL for other JSON.  The
 * caller owns a reference.
 */
JsonArray *
ctl_json_rows (JsonNode *root, const char *member)
{
  JsonArray *rows;
  JsonObject *object;

  if (JSON_NODE_HOLDS_ARRAY (root))
    return json_array_ref (json_node_get_array (root));
  if (!JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  object = json_node_get_object (root);
  if (member != NULL && json_object_has_member (object, member))
    return json_array_ref (json_object_get_array_member (object, member));
  rows = json_array_new ();
  json_array_add_object_element (rows, json_object_ref (object));
  return rows;
}
