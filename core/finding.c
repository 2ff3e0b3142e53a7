#include "core/finding.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void
findings_init(struct findings *findings)
{
	findings->count = 0;
	findings->total_count = 0;
}

static struct finding *
finding_add(struct findings *findings, const char *place)
{
	struct finding *finding;

	findings->total_count++;
	if (findings->count == FINDINGS_MAX_COUNT)
		return NULL;
	finding = &findings->items[findings->count++];
	memset(finding, 0, sizeof(*finding));
	snprintf(finding->place, sizeof(finding->place), "%s", place);
	return finding;
}

void
findings_add_row(struct findings *findings, const char *table, uint32_t row,
    const char *format, ...)
{
	struct finding *finding = finding_add(findings, table);
	va_list args;

	if (finding == NULL)
		return;
	finding->row = row;
	va_start(args, format);
	vsnprintf(finding->text, sizeof(finding->text), format, args);
	va_end(args);
}

void
findings_add_line(struct findings *findings, const char *file, uint32_t line,
    uint32_t column, const char *format, ...)
{
	struct finding *finding = finding_add(findings, file);
	va_list args;

	if (finding == NULL)
		return;
	finding->line = line;
	finding->column = column;
	va_start(args, format);
	vsnprintf(finding->text, sizeof(finding->text), format, args);
	va_end(args);
}

void
finding_format(const struct finding *finding, char *out, size_t size_bytes)
{
	if (finding->line != 0)
		snprintf(out, size_bytes, "%s:%u:%u: %s", finding->place,
		    finding->line, finding->column, finding->text);
	else if (finding->row != 0)
		snprintf(out, size_bytes, "%s: row %u: %s", finding->place,
		    finding->row, finding->text);
	else
		snprintf(out, size_bytes, "%s: %s", finding->place,
		    finding->text);
}
