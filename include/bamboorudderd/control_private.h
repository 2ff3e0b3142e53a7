/**
 * @file
 * What the files of the control thread share.
 */
#ifndef BAMBOORUDDERD_CONTROL_PRIVATE_H
#define BAMBOORUDDERD_CONTROL_PRIVATE_H

#include "bamboorudderd/control.h"

/** Work for the control thread. */
struct control_task {
	STAILQ_ENTRY(control_task) entries;
	void (*run)(struct control *control, struct control_task *task);
	struct ticket *ticket;
	void *context; /**< of mailbox_post_context */
	enum done_outcome outcome;
	/* for a caller that waits: */
	pthread_mutex_t mutex;
	pthread_cond_t done_cond;
	bool done;
	bool synchronous;
	json_t *json;
	uint32_t count;
};

/** Posts work without waiting for it. */
void mailbox_post(struct control *control,
    void (*run)(struct control *, struct control_task *), struct ticket *ticket,
    enum done_outcome outcome);

/** Posts work with a context of its own. */
void mailbox_post_context(struct control *control,
    void (*run)(struct control *, struct control_task *), void *context);

/** Runs all posted work; on the control thread. */
void mailbox_run(struct control *control);

/** Frees what was posted after the thread ended. */
void mailbox_discard(struct control *control);

/** Carries out all effects, those that arise on the way included. */
void control_run_effects(struct control *control, uint64_t now_ms);

/** Takes one encoded message of a peer; a peer_message_fn. */
void control_on_message(void *control, const void *bytes, size_t length_bytes);

/** Takes over the pools that this node owns now and gives up the others. */
void control_update_owners(struct control *control, uint64_t now_ms);

/** Follows a change of the live members. */
void control_update_membership(struct control *control, uint64_t now_ms);

/** Frees an owner; for the table of owners. */
void control_owner_free(gpointer owner);

#endif
