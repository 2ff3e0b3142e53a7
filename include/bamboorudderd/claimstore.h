/**
 * @file
 * Claims of idempotency keys in the platform's object API, and the sweep of
 * those that have expired. May be used from any thread.
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

/** Claims lie in shards by the first digits of their hash. */
#define CLAIM_SHARDS_COUNT 4096u
#define CLAIM_NAME_MAX_BYTES 80u

struct claimstore {
	const struct settings *settings;
	struct platform *platform;
	struct clk clk;
	struct claim_config config; /**< without attempt and fingerprint */
	pthread_t sweeper;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	bool stopping;
};

/** Starts the sweeping thread. */
void claimstore_init(struct claimstore *store, const struct settings *settings,
    struct platform *platform);
void claimstore_finish(struct claimstore *store);

/** The object of an account's key: a hash, so that keys aren't told. */
void claimstore_object_name(const char *account, const char *key,
    char out[CLAIM_NAME_MAX_BYTES]);

/** Writes if version is the current one; 0 creates. */
struct claim_event claimstore_write(struct claimstore *store, const char *name,
    const struct claim_record *record, uint64_t version);
/** record is initialised, and filled if the event is CLAIM_EVENT_READ. */
struct claim_event claimstore_read(struct claimstore *store, const char *name,
    struct claim_record *record);
struct claim_event claimstore_remove(struct claimstore *store, const char *name,
    uint64_t version);

#endif
