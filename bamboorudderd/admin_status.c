#include <string.h>

#include "bamboorudderd/admin.h"
#include "bamboorudderd/admin_operation.h"
#include "common/metric.h"
#include "common/table_json.h"

void
admin_get_healthz(const struct admin_request *request)
{
	response_send_json(request->connection, 200,
	    json_pack("{s:s}", "status", "ok"));
}

void
admin_get_readyz(const struct admin_request *request)
{
	struct snapshot *snapshot = tablestore_ref(request->admin->store);
	const char *status = "ready";

	if (atomic_load(&request->admin->draining))
		status = "draining";
	else if (snapshot->tables.routes_version == 0 ||
	    snapshot->tables.pools_version == 0)
		status = "no tables yet";
	snapshot_unref(snapshot);
	response_send_json(request->connection,
	    strcmp(status, "ready") == 0 ? 200 : 503,
	    json_pack("{s:s}", "status", status));
}

void
admin_get_metrics(const struct admin_request *request)
{
	GString *text = g_string_new(NULL);
	struct response_head head;

	metric_render(text);
	response_head_init(&head, request->connection, 200);
	response_head_add(&head, "Content-Type", "text/plain; version=0.0.4");
	response_head_close(&head);
	response_head_send(&head, text->str, text->len);
	g_string_free(text, TRUE);
}

void
admin_get_version(const struct admin_request *request)
{
	response_send_json(request->connection, 200,
	    json_pack("{s:s}", "version", BAMBOORUDDER_VERSION));
}

void
admin_post_drain(const struct admin_request *request)
{
	atomic_store(&request->admin->draining, 1);
	control_drain(request->admin->control);
	response_send_json(request->connection, 202,
	    json_pack("{s:s}", "status", "draining"));
}

void
admin_get_dump(const struct admin_request *request)
{
	response_send_json(request->connection, 200,
	    control_dump(request->admin->control));
}

/* Lists this daemon, followed by the others, from a state dump. */
static json_t *
list_daemons(const json_t *dump)
{
	json_t *list = json_copy(json_object_get(dump, "members"));

	json_array_insert(list, 0, json_object_get(dump, "self"));
	return list;
}

void
admin_get_members(const struct admin_request *request)
{
	json_t *dump = control_dump(request->admin->control);

	response_send_json(request->connection, 200,
	    json_pack("{s:o}", "daemons", list_daemons(dump)));
	json_decref(dump);
}

static bool
contains_text(const json_t *list, const char *text)
{
	const json_t *item;
	size_t index;

	json_array_foreach (list, index, item)
		if (strcmp(json_string_value(item), text) == 0)
			return true;
	return false;
}

/* Adds a failure domain, or another daemon in it, to a list by name. */
static void
add_domain(json_t *domains, const char *name, bool drained, json_int_t daemons)
{
	json_t *domain = json_object_get(domains, name);

	if (domain == NULL) {
		domain = json_pack("{s:s, s:b, s:I}", "domain", name, "drained",
		    drained, "daemons", (json_int_t)0);
		json_object_set_new(domains, name, domain);
	}
	daemons += json_integer_value(json_object_get(domain, "daemons"));
	json_object_set_new(domain, "daemons", json_integer(daemons));
}

/* Lists the failure domains that have daemons or are out of use. */
void
admin_get_domains(const struct admin_request *request)
{
	json_t *dump = control_dump(request->admin->control);
	json_t *daemons = list_daemons(dump), *domains = json_object();
	json_t *drained = json_object_get(json_object_get(dump, "dispatch"),
	    "drained_domains");
	json_t *list = json_array(), *item;
	const char *name;
	size_t index;

	json_array_foreach (daemons, index, item) {
		name = json_string_value(json_object_get(item, "domain"));
		add_domain(domains, name, contains_text(drained, name), 1);
	}
	json_array_foreach (drained, index, item)
		add_domain(domains, json_string_value(item), true, 0);
	json_object_foreach (domains, name, item)
		json_array_append(list, item);
	response_send_json(request->connection, 200,
	    json_pack("{s:o}", "domains", list));
	json_decref(domains);
	json_decref(daemons);
	json_decref(dump);
}

/* @return the owner state of a pool, or NULL if another daemon owns it */
static json_t *
find_owner(const json_t *dump, const json_t *pool)
{
	json_t *owner;
	size_t index;

	json_array_foreach (json_object_get(dump, "owners"), index, owner)
		if (json_equal(json_object_get(owner, "pool"),
			json_object_get(pool, "pool")))
			return owner;
	return NULL;
}

/* Lists all pools; includes the owner state of pools owned by this daemon. */
void
admin_get_pools(const struct admin_request *request)
{
	json_t *dump = control_dump(request->admin->control), *pool;
	json_t *pools = json_object_get(dump, "pools");
	size_t index;

	json_array_foreach (pools, index, pool)
		json_object_update(pool, find_owner(dump, pool));
	response_send_json(request->connection, 200,
	    json_pack("{s:O}", "pools", pools));
	json_decref(dump);
}

static void
append_accounts(json_t *list, const json_t *owner)
{
	json_t *account;
	size_t index;

	json_array_foreach (json_object_get(owner, "accounts"), index,
	    account) {
		json_t *row = json_copy(account);
		json_object_set(row, "pool", json_object_get(owner, "pool"));
		json_array_append_new(list, row);
	}
}

/* Lists the accounts of the pools that this daemon owns, and separately the
 * pools that other daemons own. */
void
admin_get_accounts(const struct admin_request *request)
{
	json_t *dump = control_dump(request->admin->control), *pool, *owner;
	json_t *accounts = json_array(), *elsewhere = json_array();
	size_t index;

	json_array_foreach (json_object_get(dump, "owners"), index, owner)
		append_accounts(accounts, owner);
	json_array_foreach (json_object_get(dump, "pools"), index, pool)
		if (!json_is_true(json_object_get(pool, "owned_here")))
			json_array_append(elsewhere, pool);
	response_send_json(request->connection, 200,
	    json_pack("{s:o, s:o}", "accounts", accounts, "elsewhere",
		elsewhere));
	json_decref(dump);
}

/* Lists the findings because of which the newest version of a table is not in
 * force. */
static json_t *
newest_findings(struct admin *admin, enum table_kind kind)
{
	struct findings *findings = g_new(struct findings, 1);
	json_t *list = json_array();
	struct tables tables;
	char *texts[TABLE_KIND_COUNT], line[512];

	findings_init(findings);
	for (int i = 0; i < TABLE_KIND_COUNT; i++)
		texts[i] = tablestore_newest(admin->store, (enum table_kind)i,
		    NULL);
	table_json_read(texts[TABLE_ROUTES], texts[TABLE_POOLS], &tables,
	    findings);
	for (size_t i = 0; i < findings->count; i++) {
		if (strcmp(findings->items[i].place, table_kind_name(kind)) !=
		    0)
			continue;
		finding_format(&findings->items[i], line, sizeof(line));
		json_array_append_new(list, json_string(line));
	}
	tables_finish(&tables);
	for (int i = 0; i < TABLE_KIND_COUNT; i++)
		g_free(texts[i]);
	g_free(findings);
	return list;
}

static bool
is_live(const json_t *daemon)
{
	const char *state = json_string_value(json_object_get(daemon, "state"));

	return state != NULL &&
	    (strcmp(state, "live") == 0 || strcmp(state, "suspect") == 0);
}

/* Reports which daemons have the newest version of a table in force. */
static json_t *
table_status(const struct admin_request *request, enum table_kind kind,
    const json_t *daemons)
{
	const char *field = kind == TABLE_ROUTES ? "routes_version"
						 : "pools_version";
	json_t *unconfirmed = json_array(), *daemon;
	json_int_t confirmed = 0, live = 0;
	uint64_t newest;
	size_t index;

	g_free(tablestore_newest(request->admin->store, kind, &newest));
	json_array_foreach (daemons, index, daemon) {
		bool confirms = (uint64_t)json_integer_value(
				    json_object_get(daemon, field)) >= newest;
		live += is_live(daemon);
		confirmed += is_live(daemon) && confirms;
		if (!confirms)
			json_array_append(unconfirmed,
			    json_object_get(daemon, "address"));
	}
	return json_pack("{s:I, s:O, s:I, s:I, s:o, s:o}", "newest_version",
	    (json_int_t)newest, "in_force_version",
	    json_object_get(json_array_get(daemons, 0), field), "daemons_live",
	    live, "daemons_confirmed", confirmed, "unconfirmed", unconfirmed,
	    "findings", newest_findings(request->admin, kind));
}

void
admin_get_status(const struct admin_request *request)
{
	json_t *dump = control_dump(request->admin->control);
	json_t *daemons = list_daemons(dump);

	response_send_json(request->connection, 200,
	    json_pack("{s:s, s:o, s:o, s:O, s:o}", "version",
		BAMBOORUDDER_VERSION, "routes",
		table_status(request, TABLE_ROUTES, daemons), "pools",
		table_status(request, TABLE_POOLS, daemons), "entry",
		json_object_get(dump, "entry"), "daemons", daemons));
	json_decref(dump);
}
