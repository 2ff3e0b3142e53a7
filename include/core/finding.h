/**
 * @file
 * Findings about input, collected with their place and reported together.
 */
#ifndef CORE_FINDING_H
#define CORE_FINDING_H

#include <stddef.h>
#include <stdint.h>

#define FINDING_TEXT_MAX_BYTES 192u
#define FINDING_PLACE_MAX_BYTES 128u
#define FINDINGS_MAX_COUNT 64u

/** One finding; row, line and column are 1-based, 0 where they don't apply. */
struct finding {
	char place[FINDING_PLACE_MAX_BYTES];
	char text[FINDING_TEXT_MAX_BYTES];
	uint32_t row;
	uint32_t line;
	uint32_t column;
};

/** Findings in the order of their discovery; total_count goes on past the
 * limit. */
struct findings {
	struct finding items[FINDINGS_MAX_COUNT];
	size_t count;
	size_t total_count;
};

void findings_init(struct findings *findings);

/** Adds a finding about a row of a table, or about the table (row 0). */
void findings_add_row(struct findings *findings, const char *table,
    uint32_t row, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Adds a finding at a line and column of a file. */
void findings_add_line(struct findings *findings, const char *file,
    uint32_t line, uint32_t column, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** Writes one finding as "place: text"; truncates to size_bytes. */
void finding_format(const struct finding *finding, char *out,
    size_t size_bytes);

#endif
