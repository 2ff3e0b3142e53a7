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

	snapshot->reference_count = 1;
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
	g_atomic_int_inc(&snapshot->reference_count);
	return snapshot;
}

void
snapshot_unref(struct snapshot *snapshot)
{
	if (!g_atomic_int_dec_and_test(&snapshot->reference_count))
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

/* The mutex must be held. */
static uint64_t
version_in_force(const struct tablestore *store, enum table_kind kind)
{
	const struct tables *tables = &store->in_force->tables;

	return kind == TABLE_ROUTES ? tables->routes_version
				    : tables->pools_version;
}

/* A version of a table that may be put in force. */
struct candidate {
	const char *text;
	uint64_t version;
};

/*
 * Puts a pair of tables in force if it is valid. The mutex must be held.
 * @param findings receives the errors of an invalid pair
 */
static bool
adopt_pair(struct tablestore *store, const struct candidate *routes,
    const struct candidate *pools, struct findings *findings)
{
	struct snapshot *next = snapshot_new();
	bool valid;

	findings_init(findings);
	next->texts[TABLE_ROUTES] = g_strdup(routes->text);
	next->texts[TABLE_POOLS] = g_strdup(pools->text);
	valid = table_json_read(routes->text, pools->text, &next->tables,
	    findings);
	next->tables.routes_version = routes->version;
	next->tables.pools_version = pools->version;
	if (!valid) {
		snapshot_unref(next);
		return false;
	}
	snapshot_unref(store->in_force);
	store->in_force = next;
	metric_add(METRIC_TABLES_ADOPTED, 1);
	return true;
}

static bool
adopt_with(struct tablestore *store, enum table_kind kind,
    const struct candidate *update, const struct candidate *other,
    struct findings *findings)
{
	return kind == TABLE_ROUTES
	    ? adopt_pair(store, update, other, findings)
	    : adopt_pair(store, other, update, findings);
}

/* Tries the new table with the newest other table, then with the other table in
 * force. The mutex must be held. */
static bool
adopt(struct tablestore *store, enum table_kind kind,
    const struct candidate *update, struct findings *findings)
{
	enum table_kind other_kind = kind == TABLE_ROUTES ? TABLE_POOLS
							  : TABLE_ROUTES;
	struct candidate in_force = { store->in_force->texts[other_kind],
		version_in_force(store, other_kind) };
	struct candidate newest = { store->texts[other_kind],
		store->versions[other_kind] };

	if (newest.version > in_force.version &&
	    adopt_with(store, kind, update, &newest, findings))
		return true;
	return adopt_with(store, kind, update, &in_force, findings);
}

void
tablestore_update(struct tablestore *store, enum table_kind kind,
    uint64_t version, const char *text)
{
	struct candidate update = { text, version };
	struct findings *findings = g_new(struct findings, 1);
	bool is_newest, adopted = false;

	pthread_mutex_lock(&store->mutex);
	is_newest = version > store->versions[kind];
	if (is_newest) {
		g_free(store->texts[kind]);
		store->texts[kind] = g_strdup(text);
		store->versions[kind] = version;
	}
	/* A version below the newest is the last valid version of another
	 * daemon. It is used while the newest version is invalid. */
	if (version > version_in_force(store, kind)) {
		adopted = adopt(store, kind, &update, findings);
		if (!adopted && is_newest) {
			log_findings(findings);
			metric_add(METRIC_TABLES_INVALID, 1);
		}
	}
	pthread_mutex_unlock(&store->mutex);
	g_free(findings);
	if (adopted && store->on_change != NULL)
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
