/**
 * @file
 * Head of a response of the CivetWeb servers. CivetWeb would send it line by
 * line; if the process is killed in between, callers take the lines that they got
 * for a complete response without a body. It is sent in one piece here.
 */
#ifndef BAMBOORUDDERD_RESPONSE_HEAD_H
#define BAMBOORUDDERD_RESPONSE_HEAD_H

#include <civetweb.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct response_head {
	struct mg_connection *connection;
	GString *text; /**< lines so far */
	bool has_date;
	bool has_connection;
	bool closes; /**< the connection ends after the response */
};

void response_head_init(struct response_head *head,
    struct mg_connection *connection, uint32_t status);

void response_head_add(struct response_head *head, const char *name,
    const char *value);
void response_head_add_number(struct response_head *head, const char *name,
    uint64_t value);

/** Adds complete lines, each with its line end. */
void response_head_add_lines(struct response_head *head, const char *lines);

/** Ends the connection after the response. */
void response_head_close(struct response_head *head);

/** Sends the head and the beginning of the body, and finishes the head. */
void response_head_send(struct response_head *head, const char *body,
    size_t body_bytes);

#endif
