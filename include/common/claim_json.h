/**
 * @file
 * JSON form of the claim of an idempotency key in the platform's store.
 */
#ifndef COMMON_CLAIM_JSON_H
#define COMMON_CLAIM_JSON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/claim.h"

/** A longer answer is recorded without its body. */
#define CLAIM_BODY_MAX_BYTES 65536u
#define CLAIM_HEADERS_MAX_BYTES 16384u

/** The answer of a done request, for its duplicates. */
struct claim_response {
	uint32_t status;
	bool body_kept; /**< false: the body was too long */
	GString *headers; /**< lines ended by CR LF */
	GString *body;
};

struct claim_record {
	struct claim_metadata metadata;
	uint64_t node_id; /**< of the daemon that wrote it */
	struct claim_response response;
};

void claim_record_init(struct claim_record *record);
void claim_record_finish(struct claim_record *record);

/** @return the record as JSON, to be freed by free() */
char *claim_json_write(const struct claim_record *record);

/**
 * Reads a record.
 * @param record initialised; unchanged or partly filled on failure
 * @return false if the text is no valid record
 */
bool claim_json_read(const char *text, struct claim_record *record);

#endif
