/**
 * @file
 * Interfaces between the files of the control thread.
 */
#ifndef BAMBOORUDDERD_CONTROL_PRIVATE_H
#define BAMBOORUDDERD_CONTROL_PRIVATE_H

#include "bamboorudderd/control.h"

/** A function to be called on the control thread. */
struct control_task {
	STAILQ_ENTRY(control_task) entries;
	void (*run)(struct control *control, struct control_task *task);
	struct ticket *ticket;
	void *context; /**< given to mailbox_post_context */
	enum done_outcome outcome;
	/* for a synchronous task: */
	pthread_mutex_t mutex;
	pthread_cond_t done_cond;
	bool done;
	bool synchronous;
	json_t *json;
	uint32_t count;
};

/** Posts a task without waiting for it. */
void mailbox_post(struct control *control,
    void (*run)(struct control *, struct control_task *), struct ticket *ticket,
    enum done_outcome outcome);

/** Posts a task with a context, which the task has to free. */
void mailbox_post_context(struct control *control,
    void (*run)(struct control *, struct control_task *), void *context);

/** Runs all posted tasks; on the control thread. */
void mailbox_run(struct control *control);

/** Frees the tasks that were posted after the control thread ended. */
void mailbox_discard(struct control *control);

/** Carries out all effects, including those that are added meanwhile. */
void control_run_effects(struct control *control, uint64_t now_ms);

/** Handles an encoded message of a peer; a peer_message_fn. */
void control_on_message(void *control, const void *bytes, size_t length_bytes);

/** @return the address of a daemon of the fleet, "?" if it is unknown */
const char *control_node_address(const struct control *control,
    uint64_t node_id);

/** Logs that an endpoint has said that it leaves or wants a pause. */
void control_log_notice(const char *endpoint, bool leaving, uint32_t pause_ms);

/** Creates owners for the pools that this node owns now and frees the
 * others. */
void control_update_owners(struct control *control, uint64_t now_ms);

/** Propagates a change of the live members to the cores. */
void control_update_membership(struct control *control, uint64_t now_ms);

/** Frees a struct owner; a GDestroyNotify. */
void control_owner_free(gpointer owner);

#endif
