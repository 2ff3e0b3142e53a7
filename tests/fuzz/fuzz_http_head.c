/* A valid head has a status and fields that are texts without blanks around them,
 * and tells where its body ends in one way at most; an invalid one stays so. */
#include <string.h>

#include "common/http_head.h"
#include "fuzz.h"

/* What the fields of a head tell of its body. */
struct framing {
	uint32_t lengths_count;
	uint32_t codings_count;
};

static void
check_text(const char *text)
{
	size_t length = strlen(text);

	for (size_t i = 0; i < length; i++)
		FUZZ_CHECK(text[i] == '\t' || !g_ascii_iscntrl(text[i]));
	FUZZ_CHECK(length == 0 || !g_ascii_isspace(text[0]));
	FUZZ_CHECK(length == 0 || !g_ascii_isspace(text[length - 1]));
}

static void
check_field(const struct http_head *head, struct framing *framing)
{
	check_text(head->name);
	check_text(head->value);
	FUZZ_CHECK(head->name[0] != '\0' && strchr(head->name, ' ') == NULL);
	if (g_ascii_strcasecmp(head->name, "Content-Length") == 0) {
		framing->lengths_count++;
		FUZZ_CHECK(
		    strspn(head->value, "0123456789") == strlen(head->value));
	}
	if (g_ascii_strcasecmp(head->name, "Transfer-Encoding") == 0)
		framing->codings_count++;
}

static void
check_line(struct http_head *head, const char *bytes, size_t length,
    struct framing *framing)
{
	bool was_invalid = head->problem != NULL;

	switch (http_head_add_line(head, bytes, length)) {
	case HTTP_HEAD_STATUS:
		memset(framing, 0, sizeof(*framing));
		FUZZ_CHECK(head->status <= 999);
		break;
	case HTTP_HEAD_FIELD:
		check_field(head, framing);
		break;
	case HTTP_HEAD_END:
		FUZZ_CHECK(
		    framing->lengths_count + framing->codings_count <= 1);
		break;
	case HTTP_HEAD_TRAILER:
		break;
	case HTTP_HEAD_INVALID:
		FUZZ_CHECK(head->problem != NULL);
		return;
	}
	FUZZ_CHECK(!was_invalid && head->problem == NULL);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	const char *text = (const char *)bytes, *end;
	const char *text_end = text + length_bytes;
	struct framing framing = { 0 };
	struct http_head head;

	http_head_init(&head);
	while (text < text_end) {
		end = memchr(text, '\n', (size_t)(text_end - text));
		end = end == NULL ? text_end : end + 1;
		check_line(&head, text, (size_t)(end - text), &framing);
		text = end;
	}
	http_head_finish(&head);
	return 0;
}
