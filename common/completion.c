#include "common/completion.h"

#include <jansson.h>

static const char *
check_document(const json_t *document, uint32_t max_tokens,
    uint32_t *hint_tokens)
{
	const json_t *hint = json_object_get(document, "max_tokens");
	json_int_t tokens = json_integer_value(hint);

	if (!json_is_object(document))
		return "the body is no JSON object";
	if (!json_is_array(json_object_get(document, "messages")))
		return "messages must be a list";
	if (hint == NULL)
		return NULL;
	if (!json_is_integer(hint) || tokens < 1 || tokens > max_tokens)
		return "max_tokens is out of the pool's range";
	*hint_tokens = (uint32_t)tokens;
	return NULL;
}

const char *
completion_check(const char *body, size_t body_bytes, uint32_t max_tokens,
    uint32_t *hint_tokens)
{
	json_error_t error;
	json_t *document = json_loadb(body, body_bytes, 0, &error);
	const char *fault;

	*hint_tokens = 0;
	fault = check_document(document, max_tokens, hint_tokens);
	json_decref(document);
	return fault;
}
