/**
 * @file
 * Validation errors (findings) of input, collected with their positions so
 * that all of them are reported at once.
 */
#ifndef CORE_FINDING_H
#define CORE_FINDING_H

#include <stddef.h>
#include <stdint.h>

#define FINDING_TEXT_MAX_BYTES 192u
#define FINDING_PLACE_MAX_BYTES 128u
#define FINDINGS_MAX_COUNT 64u

/** One finding. row, line and column count from 1; 0 means not applicable. */
struct finding {
	char place[FINDING_PLACE_MAX_BYTES];
	char text[FINDING_TEXT_MAX_BYTES];
	uint32_t row;
	uint32_t line;
	uint32_t column;
};

/** Findings in the order of discovery. Those past FINDINGS_MAX_COUNT are
 * counted in total_count but not stored. */
struct findings {
	struct finding items[FINDINGS_MAX_COUNT];
	size_t count;
	size_t total_count;
};

void findings_init(struct findings *findings);

/** Adds a finding about a row of a table, or about the whole table if row is
 * 0. */
void findings_add_row(struct findings *findings, const char *table,
    uint32_t row, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Adds a finding at a position in a file. */
void findings_add_line(struct findings *findings, const char *file,
    uint32_t line, uint32_t column, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** Formats a finding as "place: text", with its row, or its line and column,
 * after the place. Truncates to size_bytes. */
void finding_format(const struct finding *finding, char *out,
    size_t size_bytes);

#endif
