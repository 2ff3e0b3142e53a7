/**
 * @file
 * Stores the claims of idempotency keys as objects of the platform and removes
 * expired ones in the background. Thread-safe.
 */
#ifndef BAMBOORUDDERD_CLAIMSTORE_H
#define BAMBOORUDDERD_CLAIMSTORE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "bamboorudderd/settings.h"
#include "common/claim_json.h"
#include "common/clk.h"
#include "common/platform.h"
#include "core/claim.h"

/** Claims are sharded by the first hexadecimal digits of their hash. */
#define CLAIM_SHARDS_COUNT 4096u
#define CLAIM_NAME_MAX_BYTES 80u

struct claimstore {
	const struct settings *settings;
	struct platform *platform;
	struct clk clk;
	struct claim_config config; /**< without attempt_id and fingerprint */
	pthread_t sweeper;
	pthread_mutex_t mutex;
	pthread_cond_t wakeup;
	bool stopping;
};

/** Starts the thread that removes expired claims. */
void claimstore_init(struct claimstore *store, const struct settings *settings,
    struct platform *platform);
void claimstore_finish(struct claimstore *store);

/**
 * Formats the object name of an account's idempotency key. The name contains
 * a hash instead of the key, so that the store does not disclose keys.
 */
void claimstore_object_name(const char *account, const char *key,
    char out[CLAIM_NAME_MAX_BYTES]);

/** Writes a record if version is the current one; 0 creates the object. */
struct claim_event claimstore_write(struct claimstore *store, const char *name,
    const struct claim_record *record, uint64_t version);
/**
 * Reads a record.
 * @param record initialised; filled if the event is CLAIM_EVENT_READ
 */
struct claim_event claimstore_read(struct claimstore *store, const char *name,
    struct claim_record *record);
struct claim_event claimstore_remove(struct claimstore *store, const char *name,
    uint64_t version);

#endif
