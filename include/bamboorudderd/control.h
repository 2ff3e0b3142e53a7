/**
 * @file
 * Control thread. It runs the cores, carries out their effects and owns the
 * peer transport. Other threads post tasks to its mailbox.
 */
#ifndef BAMBOORUDDERD_CONTROL_H
#define BAMBOORUDDERD_CONTROL_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "bamboorudderd/fault_injector.h"
#include "bamboorudderd/peer.h"
#include "bamboorudderd/settings.h"
#include "bamboorudderd/table_watcher.h"
#include "bamboorudderd/tablestore.h"
#include "common/clk.h"
#include "core/delegation.h"
#include "core/dispatch.h"
#include "core/entry.h"
#include "core/members.h"
#include "core/tablesync.h"

enum ticket_state { TICKET_WAITING, TICKET_GRANTED, TICKET_REFUSED };

/** A request for a slot, shared by a worker thread and the control thread. */
struct ticket {
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	enum ticket_state state;
	struct entry_request_params params;
	uint64_t seq;
	uint64_t endpoint_id;
	enum refuse_reason reason;
	uint32_t retry_after_ms;
	_Atomic uint64_t tokens; /**< relayed to the caller so far */
};

struct control_task;
struct gateway;

struct control {
	const struct settings *settings;
	struct clk clk;
	struct peer peer;
	struct tablestore *store;
	struct gateway *gateway; /**< NULL if there is none */
	/** NULL unless test.hooks is set */
	struct fault_injector *fault_injector;
	struct table_watcher *watchers; /**< one per kind of table, or NULL */
	uint64_t incarnation;
	pthread_t thread;
	pthread_mutex_t mailbox_mutex;
	STAILQ_HEAD(, control_task) mailbox;
	int wake_fd;
	bool stopping; /**< control thread only */
	/* used by the control thread only */
	struct snapshot *snapshot;
	struct members members;
	struct tablesync tablesync;
	struct entry entry;
	struct dispatch dispatch;
	struct delegation delegation;
	/** attempt_id to what waits for its decision; owned by the gateway. */
	GHashTable *undecided;
	struct config_snapshot *configuration; /**< of dispatch, or NULL */
	uint64_t logged_hub_node_id; /**< in the last log_hub() */
	GHashTable *owners; /**< pool_id to struct owner */
	GHashTable *tickets; /**< seq to struct ticket */
	struct effects effects;
	GByteArray *send_buffer; /**< encoded message */
};

/**
 * Initialises the cores and binds the peer transport.
 * @param fault_injector test hook, or NULL
 */
gboolean control_init(struct control *control, const struct settings *settings,
    struct tablestore *store, struct fault_injector *fault_injector,
    GError **error);

/**
 * Starts the control thread.
 * @param watchers running watchers of both tables, or NULL
 */
void control_start(struct control *control, struct table_watcher *watchers);

/** Stops the control thread and waits for it. */
void control_stop(struct control *control);
void control_finish(struct control *control);

/**
 * Requests a slot and waits until it is granted or refused, for at most
 * queue_timeout_ms.
 * @return a ticket, to be released by control_release_slot in either case
 */
struct ticket *control_acquire_slot(struct control *control,
    const struct entry_request_params *params);

/** Reports the end of a request, releases its slot and frees its ticket. */
void control_release_slot(struct control *control, struct ticket *ticket,
    enum done_outcome outcome);

/** Refuses the waiting requests and tells the other daemons that this one is
 * leaving. */
void control_drain(struct control *control);

/** Stops the control thread from using the gateway's feed. */
void control_detach_gateway(struct control *control);

/** @return number of requests that wait for a slot or hold one */
uint32_t control_active_count(struct control *control);

/** @return the state of the control thread; a new reference */
json_t *control_dump(struct control *control);

/** Tells the control thread that the tables in force have changed.
 * @param control a struct control */
void control_tables_changed(void *control);

#endif
