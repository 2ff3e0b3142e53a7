#include "common/http_exchange.h"

#include <string.h>

#define STATUS_SWITCHING_PROTOCOLS 101u
#define STATUS_FINAL_MIN 200u

static void
clear_text(GString **text)
{
	if (*text != NULL)
		g_string_free(*text, TRUE);
	*text = NULL;
}

static void
clear_head(struct http_exchange *exchange)
{
	clear_text(&exchange->target);
	clear_text(&exchange->name);
	clear_text(&exchange->value);
	exchange->value_begun = false;
}

static void
append_text(GString **text, const char *bytes, size_t length)
{
	if (*text == NULL)
		*text = g_string_new(NULL);
	g_string_append_len(*text, bytes, (gssize)length);
}

static void
begin_exchange(struct http_exchange *exchange)
{
	clear_head(exchange);
	http_parser_init(&exchange->request, HTTP_REQUEST);
	http_parser_init(&exchange->response, HTTP_RESPONSE);
	exchange->request.data = exchange;
	exchange->response.data = exchange;
	exchange->begun = false;
	exchange->whole = false;
	exchange->answering = false;
	exchange->answered = false;
}

static void
set_opaque(struct http_exchange *exchange)
{
	clear_head(exchange);
	exchange->opaque = true;
}

static void
end_header(struct http_exchange *exchange)
{
	if (exchange->name == NULL || exchange->name->len == 0)
		return;
	exchange->ops->on_header(exchange->context, exchange->name->str,
	    exchange->value == NULL ? "" : exchange->value->str);
	/* both serve the next header as well */
	g_string_truncate(exchange->name, 0);
	if (exchange->value != NULL)
		g_string_truncate(exchange->value, 0);
	exchange->value_begun = false;
}

static int
on_request_begin(http_parser *parser)
{
	struct http_exchange *exchange = parser->data;

	exchange->begun = true;
	return 0;
}

static int
on_target(http_parser *parser, const char *bytes, size_t length)
{
	struct http_exchange *exchange = parser->data;

	append_text(&exchange->target, bytes, length);
	return 0;
}

static int
on_name(http_parser *parser, const char *bytes, size_t length)
{
	struct http_exchange *exchange = parser->data;

	if (exchange->value_begun)
		end_header(exchange);
	append_text(&exchange->name, bytes, length);
	return 0;
}

static int
on_value(http_parser *parser, const char *bytes, size_t length)
{
	struct http_exchange *exchange = parser->data;

	append_text(&exchange->value, bytes, length);
	exchange->value_begun = true;
	return 0;
}

static int
on_request_head_end(http_parser *parser)
{
	struct http_exchange *exchange = parser->data;

	end_header(exchange);
	exchange->ops->on_head_end(exchange->context,
	    exchange->target == NULL ? "" : exchange->target->str);
	clear_head(exchange);
	/* no server here switches protocols */
	parser->upgrade = 0;
	return 0;
}

/* Keeps the parser from the bytes of the next request. */
static int
on_request_end(http_parser *parser)
{
	struct http_exchange *exchange = parser->data;

	exchange->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_response_begin(http_parser *parser)
{
	struct http_exchange *exchange = parser->data;

	exchange->answering = true;
	return 0;
}

static int
on_response_head_end(http_parser *parser)
{
	const struct http_exchange *exchange = parser->data;
	bool has_no_body = exchange->request.method == HTTP_HEAD;

	if (parser->status_code == STATUS_SWITCHING_PROTOCOLS)
		return -1;
	return has_no_body ? 1 : 0;
}

static int
on_response_end(http_parser *parser)
{
	struct http_exchange *exchange = parser->data;

	if (parser->status_code < STATUS_FINAL_MIN) {
		exchange->answering = false;
		return 0;
	}
	exchange->answered = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings request_settings = {
	.on_message_begin = on_request_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_request_head_end,
	.on_message_complete = on_request_end,
};

static const http_parser_settings response_settings = {
	.on_message_begin = on_response_begin,
	.on_headers_complete = on_response_head_end,
	.on_message_complete = on_response_end,
};

void
http_exchange_init(struct http_exchange *exchange,
    const struct http_exchange_ops *ops, void *context)
{
	memset(exchange, 0, sizeof(*exchange));
	exchange->ops = ops;
	exchange->context = context;
	begin_exchange(exchange);
}

void
http_exchange_finish(struct http_exchange *exchange)
{
	clear_head(exchange);
}

static bool
is_over(const struct http_exchange *exchange)
{
	return exchange->whole && exchange->answered;
}

size_t
http_exchange_add_request(struct http_exchange *exchange, const void *bytes,
    size_t length)
{
	size_t parsed;

	if (exchange->opaque)
		return length;
	if (is_over(exchange))
		begin_exchange(exchange);
	if (exchange->whole)
		return 0;
	parsed = http_parser_execute(&exchange->request, &request_settings,
	    bytes, length);
	if (parsed < length && !exchange->whole) {
		set_opaque(exchange);
		return length;
	}
	return parsed;
}

void
http_exchange_add_response(struct http_exchange *exchange, const void *bytes,
    size_t length)
{
	size_t parsed;

	if (exchange->opaque)
		return;
	parsed = exchange->answered ? 0
				    : http_parser_execute(&exchange->response,
					  &response_settings, bytes, length);
	if (parsed < length)
		set_opaque(exchange);
}

void
http_exchange_end_response(struct http_exchange *exchange)
{
	if (!exchange->opaque && exchange->answering && !exchange->answered)
		http_parser_execute(&exchange->response, &response_settings,
		    NULL, 0);
}

bool
http_exchange_in_progress(const struct http_exchange *exchange)
{
	return exchange->begun && !is_over(exchange);
}
