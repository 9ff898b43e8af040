#ifndef TESTS_FUZZ_OPTIONS_H
#define TESTS_FUZZ_OPTIONS_H

#include <stdint.h>

/* Returns the number that follows the option, e.g. "--seed", or fallback. */
uint64_t
fuzz_option (int argc, char **argv, const char *name, uint64_t fallback);

#endif
