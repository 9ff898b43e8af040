#ifndef EEL_INTERNAL_TOML_H
#define EEL_INTERNAL_TOML_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* A parsed TOML text as a tree of C nodes, each with its line. */

  enum eel_toml_kind
  {
    EEL_TOML_TABLE,
    EEL_TOML_ARRAY,
    EEL_TOML_STRING,
    EEL_TOML_INTEGER,
    EEL_TOML_FLOAT,
    EEL_TOML_BOOLEAN,
    /* Dates and times, which no document of this project uses. */
    EEL_TOML_OTHER
  };

  struct eel_toml
  {
    enum eel_toml_kind kind;
    uint32_t line;
    /* Name in the parent table; NULL in arrays and for the root. */
    char *key;
    char *string;
    /* Also the value of a boolean, 0 or 1. */
    int64_t integer;
    double number;
    struct eel_toml *children;
    size_t child_count;
  };

/* Depth and node bounds keep untrusted input from exhausting the stack. */
#define EEL_TOML_DEPTH_MAX 8
#define EEL_TOML_NODES_MAX 65536

  /*
   * Returns the root table, to be freed with eel_toml_free, or NULL with *line
   * and the error text set.
   */
  struct eel_toml *eel_toml_parse (const char *text,
                                   size_t bytes,
                                   uint32_t *line,
                                   char *error,
                                   size_t error_bytes);
  void eel_toml_free (struct eel_toml *root);
  /* Returns the member of a table, or NULL. */
  const struct eel_toml *eel_toml_get (const struct eel_toml *table,
                                       const char *key);

#ifdef __cplusplus
}
#endif

#endif
