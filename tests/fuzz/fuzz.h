/**
 * @file
 * What the fuzz targets share.
 */
#ifndef TESTS_FUZZ_FUZZ_H
#define TESTS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/** Ends the run as a finding unless the condition holds. */
#define FUZZ_CHECK(condition)                                                  \
	do {                                                                   \
		if (!(condition))                                              \
			abort();                                               \
	} while (0)

/** Called by libFuzzer for each input. @return 0 */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes);

#endif
