/**
 * @file
 * Checks the head of a response, and its trailer, line by line: RFC 9112, sections 4
 * to 6, and RFC 9110, section 5.5. libcurl reads what is malformed with leniency, so
 * nothing is to be concluded from a line before it has passed here.
 */
#ifndef COMMON_HTTP_HEAD_H
#define COMMON_HTTP_HEAD_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Of all heads and trailers of a response. */
#define HTTP_HEAD_MAX_BYTES (64u * 1024u)
/** Of a head or a trailer. */
#define HTTP_HEAD_FIELDS_MAX_COUNT 256u

/** What a line is. */
enum http_head_part {
	HTTP_HEAD_STATUS, /**< begins a head; one before it was interim */
	HTTP_HEAD_FIELD, /**< name and value hold it */
	HTTP_HEAD_END, /**< blank; status holds that of the head */
	HTTP_HEAD_TRAILER, /**< a line after a final head */
	HTTP_HEAD_INVALID /**< not HTTP/1.x; problem tells why */
};

/** Line that is expected next. */
enum http_head_state {
	HTTP_HEAD_EXPECTS_STATUS,
	HTTP_HEAD_EXPECTS_FIELD,
	HTTP_HEAD_EXPECTS_TRAILER
};

struct http_head {
	http_parser parser;
	enum http_head_state state;
	GString *line; /**< name and value are parts of it */
	/** Of the last field, without the blanks around them; valid until the next
	 * line. */
	const char *name;
	const char *value;
	uint32_t status;
	size_t received_bytes;
	uint32_t fields_count; /**< so far in this head or trailer */
	bool blank_before_colon; /**< in the last field line */
	bool chunked; /**< the head has a Transfer-Encoding */
	const char *problem; /**< NULL as long as all lines are valid */
};

void http_head_init(struct http_head *head);

/** Frees the line; the problem stays. */
void http_head_finish(struct http_head *head);

/**
 * Checks the next line.
 * @param bytes a line as received, with its line end
 * @return HTTP_HEAD_INVALID for this line and all further ones if one is invalid
 */
enum http_head_part http_head_add_line(struct http_head *head,
    const char *bytes, size_t length);

#endif
