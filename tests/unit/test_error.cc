#include <gtest/gtest.h>
#include <set>
#include <string>

extern "C"
{
#include "eelgrasslatch/error.h"
}

// Guards against a kind that is added to the list but not to the table.
TEST (error, every_kind_has_a_table_entry)
{
  std::set<std::string> names;

  for (int kind = EEL_OK; kind < EEL_ERROR_COUNT; kind++)
    {
      const struct eel_error_info *info
          = eel_error_info (static_cast<enum eel_error> (kind));

      ASSERT_NE (info->name, nullptr) << kind;
      EXPECT_TRUE (names.insert (info->name).second) << info->name;
      EXPECT_GE (info->http_status, 200) << info->name;
    }
}

// Guards against the outcome "not run" for a key that is not sealed.
TEST (error, only_sealed_has_outcome_not_run)
{
  for (int kind = EEL_OK; kind < EEL_ERROR_COUNT; kind++)
    {
      const struct eel_error_info *info
          = eel_error_info (static_cast<enum eel_error> (kind));

      EXPECT_EQ (info->outcome == EEL_OUTCOME_NOT_RUN, kind == EEL_ERROR_SEALED)
          << info->name;
    }
}
