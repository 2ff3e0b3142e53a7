/**
 * @file
 * The newest tables known to this daemon and the tables in force. Thread-safe.
 */
#ifndef BAMBOORUDDERD_TABLESTORE_H
#define BAMBOORUDDERD_TABLESTORE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/msg.h"
#include "core/tables.h"

/** Immutable, reference-counted tables in force. */
struct snapshot {
	gint reference_count; /**< accessed by g_atomic_int_*() */
	struct tables tables;
	char *texts[TABLE_KIND_COUNT];
};

struct tablestore {
	pthread_mutex_t mutex;
	struct snapshot *in_force; /**< never NULL; initially empty */
	char *texts[TABLE_KIND_COUNT]; /**< newest texts, valid or not */
	uint64_t versions[TABLE_KIND_COUNT];
	void (*on_change)(void *context);
	void *on_change_context;
};

void tablestore_init(struct tablestore *store);
void tablestore_finish(struct tablestore *store);

/** @return the tables in force, to be released by snapshot_unref */
struct snapshot *tablestore_ref(struct tablestore *store);
struct snapshot *snapshot_ref(struct snapshot *snapshot);
void snapshot_unref(struct snapshot *snapshot);

/**
 * Adds a version of a table. A version that is not newer than the one in force
 * is ignored, so that a table never reverts to an older version. A newer one is
 * put in force if it is valid together with the newest other table or with the
 * other table in force. Otherwise the tables in force stay and the findings are
 * logged.
 */
void tablestore_update(struct tablestore *store, enum table_kind kind,
    uint64_t version, const char *text);

/**
 * Returns the newest text of a table, valid or not.
 * @param version receives the version of the text; may be NULL
 * @return a copy to be freed by g_free
 */
char *tablestore_newest(struct tablestore *store, enum table_kind kind,
    uint64_t *version);

/** @return the name of a table: "routes" or "pools" */
const char *table_kind_name(enum table_kind kind);

#endif
