#include "bamboorudderd/tablestore.h"

#include <glib.h>
#include <string.h>

#include "common/log.h"
#include "common/metric.h"
#include "common/table_json.h"

#define EMPTY_TABLE "{\"rows\": []}"

const char *
table_kind_name(enum table_kind kind)
{
	return kind == TABLE_ROUTES ? "routes" : "pools";
}

static struct snapshot *
snapshot_new(void)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);

	atomic_init(&snapshot->reference_count, 1);
	return snapshot;
}

void
tablestore_init(struct tablestore *store)
{
	memset(store, 0, sizeof(*store));
	pthread_mutex_init(&store->mutex, NULL);
	store->in_force = snapshot_new();
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		store->in_force->texts[kind] = g_strdup(EMPTY_TABLE);
}

void
tablestore_finish(struct tablestore *store)
{
	snapshot_unref(store->in_force);
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		g_free(store->texts[kind]);
	pthread_mutex_destroy(&store->mutex);
}

struct snapshot *
snapshot_ref(struct snapshot *snapshot)
{
	atomic_fetch_add(&snapshot->reference_count, 1);
	return snapshot;
}

void
snapshot_unref(struct snapshot *snapshot)
{
	if (atomic_fetch_sub(&snapshot->reference_count, 1) != 1)
		return;
	tables_finish(&snapshot->tables);
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		g_free(snapshot->texts[kind]);
	g_free(snapshot);
}

struct snapshot *
tablestore_ref(struct tablestore *store)
{
	struct snapshot *snapshot;

	pthread_mutex_lock(&store->mutex);
	snapshot = snapshot_ref(store->in_force);
	pthread_mutex_unlock(&store->mutex);
	return snapshot;
}

static void
log_findings(const struct findings *findings)
{
	char line[FINDING_PLACE_MAX_BYTES + FINDING_TEXT_MAX_BYTES];

	for (size_t i = 0; i < findings->count; i++) {
		finding_format(&findings->items[i], line, sizeof(line));
		log_event(LOG_LEVEL_WARN, "table_invalid", "finding", line,
		    NULL);
	}
}

/* Called with the mutex held. */
static bool
adopt_newest(struct tablestore *store)
{
	struct findings *findings = g_new(struct findings, 1);
	struct snapshot *next = snapshot_new();
	bool valid;

	findings_init(findings);
	for (int kind = 0; kind < TABLE_KIND_COUNT; kind++)
		next->texts[kind] = g_strdup(store->texts[kind] == NULL
			? EMPTY_TABLE
			: store->texts[kind]);
	valid = table_json_read(next->texts[TABLE_ROUTES],
	    next->texts[TABLE_POOLS], &next->tables, findings);
	next->tables.routes_version = store->versions[TABLE_ROUTES];
	next->tables.pools_version = store->versions[TABLE_POOLS];
	if (valid) {
		snapshot_unref(store->in_force);
		store->in_force = next;
		metric_add(METRIC_TABLES_ADOPTED, 1);
	} else {
		log_findings(findings);
		snapshot_unref(next);
		metric_add(METRIC_TABLES_INVALID, 1);
	}
	g_free(findings);
	return valid;
}

void
tablestore_offer(struct tablestore *store, enum table_kind kind,
    uint64_t version, const char *text)
{
	bool changed = false;

	pthread_mutex_lock(&store->mutex);
	if (version > store->versions[kind]) {
		g_free(store->texts[kind]);
		store->texts[kind] = g_strdup(text);
		store->versions[kind] = version;
		changed = adopt_newest(store);
	}
	pthread_mutex_unlock(&store->mutex);
	if (changed && store->on_change != NULL)
		store->on_change(store->on_change_context);
}

char *
tablestore_newest(struct tablestore *store, enum table_kind kind,
    uint64_t *version)
{
	char *text;

	pthread_mutex_lock(&store->mutex);
	text = g_strdup(
	    store->texts[kind] == NULL ? EMPTY_TABLE : store->texts[kind]);
	if (version != NULL)
		*version = store->versions[kind];
	pthread_mutex_unlock(&store->mutex);
	return text;
}
