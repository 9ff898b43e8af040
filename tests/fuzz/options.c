#include "tests/fuzz/options.h"

#include <stdlib.h>
#include <string.h>

uint64_t
fuzz_option (int argc, char **argv, const char *name, uint64_t fallback)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return strtoull (argv[i + 1], NULL, 10);
  return fallback;
}
