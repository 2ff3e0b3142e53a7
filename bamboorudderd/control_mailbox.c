#include <unistd.h>

#include "bamboorudderd/control_private.h"
#include "bamboorudderd/dump.h"
#include "common/log.h"

static void
mailbox_push(struct control *control, struct command *command)
{
	uint64_t one = 1;
	bool first;

	pthread_mutex_lock(&control->mailbox_mutex);
	first = STAILQ_EMPTY(&control->mailbox);
	STAILQ_INSERT_TAIL(&control->mailbox, command, entries);
	pthread_mutex_unlock(&control->mailbox_mutex);
	if (first && write(control->wake_fd, &one, sizeof(one)) < 0)
		log_event(LOG_LEVEL_ERROR, "wake_failed", NULL);
}

static struct command *
mailbox_pop(struct control *control)
{
	struct command *command;

	pthread_mutex_lock(&control->mailbox_mutex);
	command = STAILQ_FIRST(&control->mailbox);
	if (command != NULL)
		STAILQ_REMOVE_HEAD(&control->mailbox, entries);
	pthread_mutex_unlock(&control->mailbox_mutex);
	return command;
}

void
mailbox_post(struct control *control,
    void (*run)(struct control *, struct command *), struct ticket *ticket,
    enum done_outcome outcome)
{
	struct command *command = g_new0(struct command, 1);

	command->run = run;
	command->ticket = ticket;
	command->outcome = outcome;
	mailbox_push(control, command);
}

void
mailbox_post_work(struct control *control,
    void (*run)(struct control *, struct command *), void *context)
{
	struct command *command = g_new0(struct command, 1);

	command->run = run;
	command->context = context;
	mailbox_push(control, command);
}

/* Runs a function on the control thread and waits for its end. */
static void
mailbox_call(struct control *control, struct command *command)
{
	pthread_mutex_init(&command->mutex, NULL);
	pthread_cond_init(&command->done_changed, NULL);
	command->awaited = true;
	mailbox_push(control, command);
	pthread_mutex_lock(&command->mutex);
	while (!command->done)
		pthread_cond_wait(&command->done_changed, &command->mutex);
	pthread_mutex_unlock(&command->mutex);
	pthread_mutex_destroy(&command->mutex);
	pthread_cond_destroy(&command->done_changed);
}

void
mailbox_run(struct control *control)
{
	struct command *command;

	while ((command = mailbox_pop(control)) != NULL) {
		bool awaited = command->awaited;

		command->run(control, command);
		control_run_effects(control, clk_monotonic_ms(&control->clk));
		if (!awaited) {
			g_free(command);
			continue;
		}
		pthread_mutex_lock(&command->mutex);
		command->done = true;
		pthread_cond_signal(&command->done_changed);
		pthread_mutex_unlock(&command->mutex);
	}
}

void
mailbox_drop(struct control *control)
{
	struct command *command;

	while ((command = mailbox_pop(control)) != NULL)
		g_free(command);
}

static void
run_submit(struct control *control, struct command *command)
{
	struct ticket *ticket = command->ticket;
	uint64_t now_ms = clk_monotonic_ms(&control->clk);

	ticket->submit.deadline_ms = now_ms +
	    control->settings->queue_timeout_ms;
	ticket->seq = entry_submit(&control->entry, &ticket->submit, now_ms,
	    &control->effects);
	g_hash_table_insert(control->tickets, &ticket->seq, ticket);
}

static void
run_release(struct control *control, struct command *command)
{
	struct ticket *ticket = command->ticket;

	entry_done(&control->entry, ticket->seq, atomic_load(&ticket->tokens),
	    command->outcome, &control->effects);
	g_hash_table_remove(control->tickets, &ticket->seq);
	pthread_mutex_destroy(&ticket->mutex);
	pthread_cond_destroy(&ticket->changed);
	g_free(ticket);
}

struct ticket *
control_acquire(struct control *control,
    const struct entry_request_params *submit)
{
	struct ticket *ticket = g_new0(struct ticket, 1);

	pthread_mutex_init(&ticket->mutex, NULL);
	pthread_cond_init(&ticket->changed, NULL);
	ticket->submit = *submit;
	mailbox_post(control, run_submit, ticket, DONE_WHOLE);
	pthread_mutex_lock(&ticket->mutex);
	while (ticket->state == TICKET_WAITING)
		pthread_cond_wait(&ticket->changed, &ticket->mutex);
	pthread_mutex_unlock(&ticket->mutex);
	return ticket;
}

void
control_release(struct control *control, struct ticket *ticket,
    enum done_outcome outcome)
{
	mailbox_post(control, run_release, ticket, outcome);
}

static void
run_drain(struct control *control, struct command *command)
{
	(void)command;
	members_leave(&control->members, &control->effects);
	entry_drain(&control->entry, &control->effects);
}

void
control_drain(struct control *control)
{
	mailbox_post(control, run_drain, NULL, DONE_WHOLE);
}

static void
run_detach(struct control *control, struct command *command)
{
	(void)command;
	control->gateway = NULL;
}

void
control_detach_gateway(struct control *control)
{
	struct command command = { .run = run_detach };

	mailbox_call(control, &command);
}

static void
run_count(struct control *control, struct command *command)
{
	uint32_t waiting_count, running_count;

	entry_counts(&control->entry, &waiting_count, &running_count);
	command->count = waiting_count + running_count;
}

uint32_t
control_active_count(struct control *control)
{
	struct command command = { .run = run_count };

	mailbox_call(control, &command);
	return command.count;
}

static void
run_dump(struct control *control, struct command *command)
{
	command->json = dump_control(control);
}

json_t *
control_dump(struct control *control)
{
	struct command command = { .run = run_dump };

	mailbox_call(control, &command);
	return command.json;
}
