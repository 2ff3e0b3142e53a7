/**
 * @file
 * JSON encoding of idempotency claims in the platform's store.
 */
#ifndef COMMON_CLAIM_JSON_H
#define COMMON_CLAIM_JSON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/claim.h"

/** A response with a longer body is recorded without it. */
#define CLAIM_BODY_MAX_BYTES 65536u
#define CLAIM_HEADERS_MAX_BYTES 16384u

/** Recorded response of a finished request, replayed to its duplicates. */
struct claim_response {
	uint32_t status;
	bool body_kept; /**< false if the body was too long to record */
	GString *headers; /**< lines terminated by CR LF */
	GString *body;
};

struct claim_record {
	struct claim_metadata metadata;
	uint64_t node_id; /**< of the daemon that wrote the record */
	struct claim_response response;
};

void claim_record_init(struct claim_record *record);
void claim_record_finish(struct claim_record *record);

/** @return the record as JSON, to be freed with free() */
char *claim_json_write(const struct claim_record *record);

/**
 * Parses a record.
 * @param record initialised by the caller; may be partly filled on failure
 * @return false if the text is not a valid record
 */
bool claim_json_read(const char *text, struct claim_record *record);

#endif
