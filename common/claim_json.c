#include "common/claim_json.h"

#include <jansson.h>
#include <string.h>

#define STATUS_MIN 200
#define STATUS_MAX 599

static const char *const state_names[CLAIM_STATE_COUNT] = { "claimed", "sent",
	"done", "unknown" };

void
claim_record_init(struct claim_record *record)
{
	memset(record, 0, sizeof(*record));
	record->response.headers = g_string_new(NULL);
	record->response.body = g_string_new(NULL);
}

void
claim_record_finish(struct claim_record *record)
{
	g_string_free(record->response.headers, TRUE);
	g_string_free(record->response.body, TRUE);
	memset(record, 0, sizeof(*record));
}

static json_t *
write_response(const struct claim_response *response)
{
	char *headers = g_base64_encode((const guchar *)response->headers->str,
	    response->headers->len);
	char *body = g_base64_encode((const guchar *)response->body->str,
	    response->body->len);
	json_t *document = json_pack("{s:i, s:b, s:s, s:s}", "status",
	    (int)response->status, "body_kept", (int)response->body_kept,
	    "headers", headers, "body", body);

	g_free(headers);
	g_free(body);
	return document;
}

char *
claim_json_write(const struct claim_record *record)
{
	const struct claim_metadata *metadata = &record->metadata;
	json_t *document = json_pack("{s:s, s:s, s:s, s:I, s:I}", "attempt",
	    metadata->attempt_id, "fingerprint", metadata->fingerprint, "state",
	    state_names[metadata->state], "changed_at_ms",
	    (json_int_t)metadata->changed_at_ms, "node_id",
	    (json_int_t)record->node_id);
	char *text;

	if (metadata->state == CLAIM_DONE)
		json_object_set_new(document, "answer",
		    write_response(&record->response));
	text = json_dumps(document, JSON_COMPACT);
	json_decref(document);
	return text;
}

static bool
read_text(const json_t *document, const char *name, char *out, size_t size)
{
	const json_t *value = json_object_get(document, name);

	return json_is_string(value) && json_string_length(value) > 0 &&
	    g_strlcpy(out, json_string_value(value), size) < size;
}

static bool
read_number(const json_t *document, const char *name, uint64_t *out)
{
	const json_t *value = json_object_get(document, name);

	*out = (uint64_t)json_integer_value(value);
	return json_is_integer(value);
}

static bool
read_base64(const json_t *document, const char *name, size_t max_bytes,
    GString *out)
{
	const char *text = json_string_value(json_object_get(document, name));
	gsize length = 0;
	guchar *bytes;

	if (text == NULL || strlen(text) > (max_bytes + 2) / 3 * 4)
		return false;
	bytes = g_base64_decode(text, &length);
	g_string_append_len(out, (const char *)bytes, (gssize)length);
	g_free(bytes);
	return true;
}

static bool
read_response(const json_t *document, struct claim_response *response)
{
	uint64_t status;

	if (!read_number(document, "status", &status) || status < STATUS_MIN ||
	    status > STATUS_MAX)
		return false;
	response->status = (uint32_t)status;
	response->body_kept = json_is_true(
	    json_object_get(document, "body_kept"));
	return read_base64(document, "headers", CLAIM_HEADERS_MAX_BYTES,
		   response->headers) &&
	    read_base64(document, "body", CLAIM_BODY_MAX_BYTES, response->body);
}

static bool
read_state(const json_t *document, enum claim_state *state)
{
	const char *text = json_string_value(
	    json_object_get(document, "state"));

	for (int i = 0; text != NULL && i < CLAIM_STATE_COUNT; i++)
		if (strcmp(text, state_names[i]) == 0) {
			*state = (enum claim_state)i;
			return true;
		}
	return false;
}

bool
claim_json_read(const char *text, struct claim_record *record)
{
	struct claim_metadata *metadata = &record->metadata;
	json_t *document = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	bool valid = read_text(document, "attempt", metadata->attempt_id,
			 sizeof(metadata->attempt_id)) &&
	    read_text(document, "fingerprint", metadata->fingerprint,
		sizeof(metadata->fingerprint)) &&
	    read_number(document, "changed_at_ms", &metadata->changed_at_ms) &&
	    read_number(document, "node_id", &record->node_id) &&
	    read_state(document, &metadata->state) &&
	    (metadata->state != CLAIM_DONE ||
		read_response(json_object_get(document, "answer"),
		    &record->response));

	json_decref(document);
	return valid;
}
