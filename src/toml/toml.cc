#include "internal/toml.h"

#include <cstdlib>
#include <cstring>
#include <new>
#include <stdexcept>
#include <string>
#include <string_view>

#define TOML_EXCEPTIONS 0
/* The parser asserts what malformed text can break, such as "[[" before a
   control character; a document from the network must not end the process. */
static void fail_assertion ();
#define TOML_ASSERT(expr) ((expr) ? (void)0 : fail_assertion ())
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

static void
fail_assertion ()
{
  throw std::logic_error ("malformed TOML");
}

namespace
{

struct copy_state
{
  size_t nodes;
  const char *error;
  uint32_t line;
};

char *
copy_text (std::string_view text)
{
  char *copy = static_cast<char *> (std::malloc (text.size () + 1));

  if (copy == nullptr)
    return nullptr;
  std::memcpy (copy, text.data (), text.size ());
  copy[text.size ()] = 0;
  return copy;
}

bool copy_node (const toml::node &from,
                struct eel_toml *to,
                int depth,
                copy_state *state);

bool
copy_table (const toml::table &from,
            struct eel_toml *to,
            int depth,
            copy_state *state)
{
  to->children = static_cast<struct eel_toml *> (
      std::calloc (from.size () + 1, sizeof *to->children));
  if (to->children == nullptr)
    return false;
  for (auto &&[key, value] : from)
    {
      struct eel_toml *child = &to->children[to->child_count++];

      child->key = copy_text (key.str ());
      if (child->key == nullptr || !copy_node (value, child, depth, state))
        return false;
    }
  return true;
}

bool
copy_array (const toml::array &from,
            struct eel_toml *to,
            int depth,
            copy_state *state)
{
  to->children = static_cast<struct eel_toml *> (
      std::calloc (from.size () + 1, sizeof *to->children));
  if (to->children == nullptr)
    return false;
  for (const auto &value : from)
    if (!copy_node (value, &to->children[to->child_count++], depth, state))
      return false;
  return true;
}

bool
copy_string (std::string_view from, struct eel_toml *to, copy_state *state)
{
  if (from.find ('\0') != std::string_view::npos)
    {
      state->error = "a string contains a zero byte";
      state->line = to->line;
      return false;
    }
  to->kind = EEL_TOML_STRING;
  to->string = copy_text (from);
  return to->string != nullptr;
}

bool
copy_node (const toml::node &from,
           struct eel_toml *to,
           int depth,
           copy_state *state)
{
  to->line = from.source ().begin.line;
  if (depth > EEL_TOML_DEPTH_MAX || ++state->nodes > EEL_TOML_NODES_MAX)
    {
      state->error = "more nesting or entries than allowed";
      state->line = to->line;
      return false;
    }
  if (const toml::table *table = from.as_table ())
    {
      to->kind = EEL_TOML_TABLE;
      return copy_table (*table, to, depth + 1, state);
    }
  if (const toml::array *array = from.as_array ())
    {
      to->kind = EEL_TOML_ARRAY;
      return copy_array (*array, to, depth + 1, state);
    }
  if (const auto *text = from.as_string ())
    return copy_string (text->get (), to, state);
  if (const auto *integer = from.as_integer ())
    {
      to->kind = EEL_TOML_INTEGER;
      to->integer = integer->get ();
    }
  else if (const auto *number = from.as_floating_point ())
    {
      to->kind = EEL_TOML_FLOAT;
      to->number = number->get ();
    }
  else if (const auto *boolean = from.as_boolean ())
    {
      to->kind = EEL_TOML_BOOLEAN;
      to->integer = boolean->get () ? 1 : 0;
    }
  else
    to->kind = EEL_TOML_OTHER;
  return true;
}

void
free_children (struct eel_toml *node)
{
  for (size_t i = 0; i < node->child_count; i++)
    {
      free_children (&node->children[i]);
      std::free (node->children[i].key);
      std::free (node->children[i].string);
    }
  std::free (node->children);
}

void
set_error (char *error, size_t bytes, std::string_view text)
{
  size_t length = text.size () < bytes - 1 ? text.size () : bytes - 1;

  std::memcpy (error, text.data (), length);
  error[length] = 0;
}

struct eel_toml *
parse_text (const char *text,
            size_t bytes,
            uint32_t *line,
            char *error,
            size_t error_bytes)
{
  copy_state state = { 0, "out of memory", 0 };
  struct eel_toml *root;
  toml::parse_result result
      = toml::parse (std::string_view (text, bytes), std::string_view ());

  if (!result)
    {
      *line = result.error ().source ().begin.line;
      set_error (error, error_bytes, result.error ().description ());
      return nullptr;
    }
  root = static_cast<struct eel_toml *> (std::calloc (1, sizeof *root));
  if (root != nullptr && copy_node (result.table (), root, 0, &state))
    return root;
  *line = state.line;
  set_error (error, error_bytes, state.error);
  eel_toml_free (root);
  return nullptr;
}

} // namespace

/*
 * EEL_TOML_DEPTH_MAX is checked after parsing; toml++ itself bounds the nesting
 * of inline values.  Where it throws, the line is not known: 0.
 */
struct eel_toml *
eel_toml_parse (const char *text,
                size_t bytes,
                uint32_t *line,
                char *error,
                size_t error_bytes)
{
  try
    {
      return parse_text (text, bytes, line, error, error_bytes);
    }
  catch (const std::exception &thrown)
    {
      *line = 0;
      set_error (error, error_bytes, thrown.what ());
      return nullptr;
    }
}

/* Frees a tree; NULL is allowed. */
void
eel_toml_free (struct eel_toml *root)
{
  if (root == nullptr)
    return;
  free_children (root);
  std::free (root);
}

const struct eel_toml *
eel_toml_get (const struct eel_toml *table, const char *key)
{
  for (size_t i = 0; i < table->child_count; i++)
    if (table->children[i].key != nullptr
        && std::strcmp (table->children[i].key, key) == 0)
      return &table->children[i];
  return nullptr;
}
