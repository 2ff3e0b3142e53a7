#include "bamboorudderd/operator.h"

#include <glib.h>
#include <string.h>

#define NAME_CHARACTERS                                                        \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
#define TEAM_PREFIX "edit@"
#define DEFAULT_NAME "operator"

static bool
name_is_plain(const char *text)
{
	return text[0] != '\0' && strlen(text) < NAME_MAX_BYTES &&
	    strspn(text, NAME_CHARACTERS) == strlen(text);
}

static bool
hash_is_valid(const char *text)
{
	return strlen(text) == DIGEST_HEX_BYTES &&
	    strspn(text, "0123456789abcdef") == DIGEST_HEX_BYTES;
}

static bool
parse_scope(const char *text, struct operator_entry *entry)
{
	if (strcmp(text, "read") == 0)
		entry->scope = OPERATOR_READ;
	else if (strcmp(text, "edit") == 0)
		entry->scope = OPERATOR_EDIT;
	else if (g_str_has_prefix(text, TEAM_PREFIX) &&
	    text[strlen(TEAM_PREFIX)] != '\0' &&
	    strlen(text + strlen(TEAM_PREFIX)) < NAME_MAX_BYTES) {
		entry->scope = OPERATOR_EDIT_TEAM;
		g_strlcpy(entry->team, text + strlen(TEAM_PREFIX),
		    sizeof(entry->team));
	} else
		return false;
	return true;
}

static const char *
parse_fields(char **fields, struct operator_entry *entry)
{
	if (g_strv_length(fields) != 3)
		return "must be NAME:SCOPE:SHA256 or a hash";
	if (!name_is_plain(fields[0]))
		return "must begin with a plain name";
	if (!parse_scope(fields[1], entry))
		return "must have the scope read, edit or edit@TEAM";
	if (!hash_is_valid(fields[2]))
		return "must end with 64 lower-case hexadecimal digits";
	g_strlcpy(entry->name, fields[0], sizeof(entry->name));
	g_strlcpy(entry->token_sha256, fields[2], sizeof(entry->token_sha256));
	return NULL;
}

const char *
operator_parse(const char *text, struct operator_entry *entry)
{
	const char *problem;
	char **fields;

	memset(entry, 0, sizeof(*entry));
	if (hash_is_valid(text)) {
		entry->scope = OPERATOR_EDIT;
		g_strlcpy(entry->name, DEFAULT_NAME, sizeof(entry->name));
		g_strlcpy(entry->token_sha256, text,
		    sizeof(entry->token_sha256));
		return NULL;
	}
	fields = g_strsplit(text, ":", -1);
	problem = parse_fields(fields, entry);
	g_strfreev(fields);
	return problem;
}

static bool
hash_equal_constant_time(const char *a, const char *b)
{
	uint32_t difference = 0;

	for (size_t i = 0; i < DIGEST_HEX_BYTES; i++)
		difference |= (uint32_t)(unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

const struct operator_entry *
operator_find(const struct operator_entry *entries, uint32_t count,
    const char *token)
{
	const struct operator_entry *found = NULL;
	char digest[DIGEST_HEX_BYTES + 1];

	if (token == NULL)
		return NULL;
	digest_sha256_hex(token, digest);
	for (uint32_t i = 0; i < count; i++)
		if (hash_equal_constant_time(entries[i].token_sha256, digest))
			found = &entries[i];
	return found;
}
