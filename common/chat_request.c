#include "common/chat_request.h"

#include <jansson.h>

static const char *
validate_document(const json_t *document, uint32_t max_tokens,
    uint32_t *requested_tokens)
{
	const json_t *requested = json_object_get(document, "max_tokens");
	json_int_t tokens = json_integer_value(requested);

	if (!json_is_object(document))
		return "the body is no JSON object";
	if (!json_is_array(json_object_get(document, "messages")))
		return "messages must be a list";
	if (requested == NULL)
		return NULL;
	if (!json_is_integer(requested) || tokens < 1 || tokens > max_tokens)
		return "max_tokens is out of the pool's range";
	*requested_tokens = (uint32_t)tokens;
	return NULL;
}

const char *
chat_request_validate(const char *body, size_t body_bytes, uint32_t max_tokens,
    uint32_t *requested_tokens)
{
	json_error_t error;
	json_t *document = json_loadb(body, body_bytes, 0, &error);
	const char *problem;

	*requested_tokens = 0;
	problem = validate_document(document, max_tokens, requested_tokens);
	json_decref(document);
	return problem;
}
