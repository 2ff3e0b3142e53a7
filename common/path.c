#include "common/path.h"

#include <glib.h>
#include <string.h>

/* Bytes that must not occur in percent-encoded form. */
static bool
decoded_byte_is_forbidden(int byte)
{
	return byte < 0x20 || byte == 0x7f || byte == '.' || byte == '/' ||
	    byte == '\\' || byte == '%' || byte == ';';
}

static bool
byte_is_forbidden(char byte)
{
	unsigned char value = (unsigned char)byte;

	return value <= 0x20 || value >= 0x7f || value == '\\' || value == '#';
}

/* Some servers remove the parameters of a segment, so "..;x" is treated as
 * "..". */
static bool
segment_is_forbidden(const char *segment, size_t length, bool last)
{
	size_t name_length = strcspn(segment, ";/");

	if (length == 0)
		return !last;
	return (name_length == 1 && segment[0] == '.') ||
	    (name_length == 2 && segment[0] == '.' && segment[1] == '.');
}

static bool
bytes_are_allowed(const char *path)
{
	for (const char *at = path; *at != '\0'; at++) {
		if (byte_is_forbidden(*at))
			return false;
		if (*at != '%')
			continue;
		if (!g_ascii_isxdigit(at[1]) || !g_ascii_isxdigit(at[2]) ||
		    decoded_byte_is_forbidden(g_ascii_xdigit_value(at[1]) * 16 +
			g_ascii_xdigit_value(at[2])))
			return false;
	}
	return true;
}

bool
path_is_normalized(const char *path)
{
	const char *segment = path;

	if (path[0] != '/' || !bytes_are_allowed(path))
		return false;
	while (segment[0] == '/') {
		size_t length;
		segment++;
		length = strcspn(segment, "/");
		if (segment_is_forbidden(segment, length,
			segment[length] == '\0'))
			return false;
		segment += length;
	}
	return true;
}
