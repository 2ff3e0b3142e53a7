/**
 * @file
 * Explanation of where a request would go now, as JSON, for operators.
 */
#ifndef BAMBOORUDDERD_EXPLAIN_H
#define BAMBOORUDDERD_EXPLAIN_H

#include <jansson.h>

#include "bamboorudderd/control.h"
#include "platform/wire.h"

/** A request as an operator describes it. */
struct explain_question {
	const char *host;
	const char *path;
	const char *account; /**< name, "" for none */
	uint32_t body_bytes;
	struct wire_request head; /**< its tokens and prompt segments */
};

/** Explains on the control thread; as control_explain. */
json_t *explain_request(struct control *control,
    const struct explain_question *question);

/** @return an object to be freed by the caller; with "unknown" if the host and path
 * have no route or the account does not exist */
json_t *control_explain(struct control *control,
    struct explain_question *question);

#endif
