/**
 * @file
 * The newest tables that this daemon knows and the snapshot in force. May be
 * used from any thread.
 */
#ifndef BAMBOORUDDERD_TABLESTORE_H
#define BAMBOORUDDERD_TABLESTORE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/msg.h"
#include "core/tables.h"

/** Tables in force, never changed; hold by snapshot_ref. */
struct snapshot {
	gint reference_count; /**< by g_atomic_int functions */
	struct tables tables;
	char *texts[TABLE_KIND_COUNT];
};

struct tablestore {
	pthread_mutex_t mutex;
	struct snapshot *in_force; /**< never NULL; empty at first */
	char *texts[TABLE_KIND_COUNT]; /**< newest seen, valid or not */
	uint64_t versions[TABLE_KIND_COUNT];
	void (*on_change)(void *context);
	void *on_change_context;
};

void tablestore_init(struct tablestore *store);
void tablestore_finish(struct tablestore *store);

/** Returns the tables in force; give them back by snapshot_unref. */
struct snapshot *tablestore_ref(struct tablestore *store);
struct snapshot *snapshot_ref(struct snapshot *snapshot);
void snapshot_unref(struct snapshot *snapshot);

/**
 * Offers a version of one table. A version not newer than the one in force is
 * ignored: a table never goes back. A newer one is put in force if it is valid
 * with the newest other table, or else with the other one in force; if not,
 * the tables in force stay and the findings are logged.
 */
void tablestore_update(struct tablestore *store, enum table_kind kind,
    uint64_t version, const char *text);

/**
 * Copies the newest text seen of one table, valid or not.
 * @param version receives its version; may be NULL
 * @return a text to be freed by g_free
 */
char *tablestore_newest(struct tablestore *store, enum table_kind kind,
    uint64_t *version);

/** @return the name of a table: "routes" or "pools" */
const char *table_kind_name(enum table_kind kind);

#endif
