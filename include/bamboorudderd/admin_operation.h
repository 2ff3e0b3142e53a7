/**
 * @file
 * Operations of the administration API and their handlers.
 */
#ifndef BAMBOORUDDERD_ADMIN_OPERATION_H
#define BAMBOORUDDERD_ADMIN_OPERATION_H

#include <civetweb.h>
#include <jansson.h>
#include <stddef.h>

#include "bamboorudderd/operator.h"
#include "bamboorudderd/response.h"
#include "core/msg.h"

struct admin;
struct admin_operation;

/** A request to the API. */
struct admin_request {
	struct admin *admin;
	struct mg_connection *connection;
	const struct admin_operation *operation;
	/** Copy of the authenticated operator; empty if none is required. */
	struct operator_entry requester;
};

/** An operation of the API: a path, a method and their handler. */
struct admin_operation {
	const char *path;
	const char *method;
	enum operator_scope scope; /**< minimum scope required */
	void (*run)(const struct admin_request *request);
	enum table_kind kind; /**< used by operations on a table */
};

/** @return all operations, sorted by path and method */
const struct admin_operation *admin_operations(size_t *count);

/** Copies a value of the query, "" if it is missing or too long.
 * @return whether there is one */
bool admin_get_value(const struct admin_request *request, const char *name,
    char *value, size_t value_bytes);

/**
 * Sends an error response.
 * @param extra_fields members added to the error, or NULL; takes the reference
 */
void admin_send_error(const struct admin_request *request, uint32_t status,
    const char *type, const char *message, enum run_state run,
    json_t *extra_fields);

struct admin_header {
	const char *name;
	const char *value;
};

/** Sends a JSON document with additional headers; takes the reference. */
void admin_send_document(struct mg_connection *connection, uint32_t status,
    json_t *document, const struct admin_header *headers, size_t header_count);

void admin_get_table(const struct admin_request *request);
void admin_put_table(const struct admin_request *request);
void admin_check_table(const struct admin_request *request);
void admin_put_row(const struct admin_request *request);
void admin_delete_row(const struct admin_request *request);
void admin_get_history(const struct admin_request *request);

void admin_get_accounts(const struct admin_request *request);
void admin_get_domains(const struct admin_request *request);
void admin_get_explain(const struct admin_request *request);
void admin_get_dump(const struct admin_request *request);
void admin_get_healthz(const struct admin_request *request);
void admin_get_members(const struct admin_request *request);
void admin_get_metrics(const struct admin_request *request);
void admin_get_pools(const struct admin_request *request);
void admin_get_readyz(const struct admin_request *request);
void admin_get_status(const struct admin_request *request);
void admin_get_version(const struct admin_request *request);
void admin_post_cut(const struct admin_request *request);
void admin_post_drain(const struct admin_request *request);
void admin_post_heal(const struct admin_request *request);

#endif
