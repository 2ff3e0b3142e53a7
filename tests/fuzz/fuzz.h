/**
 * @file
 * Entry point and assertion of the fuzz targets.
 */
#ifndef TESTS_FUZZ_FUZZ_H
#define TESTS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/** Aborts unless the condition holds, which libFuzzer reports as a crash. */
#define FUZZ_CHECK(condition)                                                  \
	do {                                                                   \
		if (!(condition))                                              \
			abort();                                               \
	} while (0)

/** Called by libFuzzer for each input. @return 0 */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes);

#endif
