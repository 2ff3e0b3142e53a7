#include <unistd.h>

#include "bamboorudderd/control_private.h"
#include "bamboorudderd/dump.h"
#include "bamboorudderd/explain.h"
#include "common/log.h"

/* Messages of other daemons are handled after this many tasks, so that a flood of
 * requests does not keep their answers waiting. */
#define TASKS_PER_RUN 32

static void
wake_control_thread(const struct control *control)
{
	uint64_t one = 1;

	if (write(control->wake_fd, &one, sizeof(one)) < 0)
		log_event(LOG_LEVEL_ERROR, "wake_failed", NULL);
}

static void
mailbox_push(struct control *control, struct control_task *task)
{
	bool first;

	pthread_mutex_lock(&control->mailbox_mutex);
	first = STAILQ_EMPTY(&control->mailbox);
	STAILQ_INSERT_TAIL(&control->mailbox, task, entries);
	pthread_mutex_unlock(&control->mailbox_mutex);
	if (first)
		wake_control_thread(control);
}

static struct control_task *
mailbox_pop(struct control *control)
{
	struct control_task *task;

	pthread_mutex_lock(&control->mailbox_mutex);
	task = STAILQ_FIRST(&control->mailbox);
	if (task != NULL)
		STAILQ_REMOVE_HEAD(&control->mailbox, entries);
	pthread_mutex_unlock(&control->mailbox_mutex);
	return task;
}

void
mailbox_post(struct control *control,
    void (*run)(struct control *, struct control_task *), struct ticket *ticket,
    enum done_outcome outcome)
{
	struct control_task *task = g_new0(struct control_task, 1);

	task->run = run;
	task->ticket = ticket;
	task->outcome = outcome;
	mailbox_push(control, task);
}

void
mailbox_post_context(struct control *control,
    void (*run)(struct control *, struct control_task *), void *context)
{
	struct control_task *task = g_new0(struct control_task, 1);

	task->run = run;
	task->context = context;
	mailbox_push(control, task);
}

/* Posts a task and waits until it has run. */
static void
mailbox_post_and_wait(struct control *control, struct control_task *task)
{
	pthread_mutex_init(&task->mutex, NULL);
	pthread_cond_init(&task->done_cond, NULL);
	task->synchronous = true;
	mailbox_push(control, task);
	pthread_mutex_lock(&task->mutex);
	while (!task->done)
		pthread_cond_wait(&task->done_cond, &task->mutex);
	pthread_mutex_unlock(&task->mutex);
	pthread_mutex_destroy(&task->mutex);
	pthread_cond_destroy(&task->done_cond);
}

static void
run_task(struct control *control, struct control_task *task)
{
	bool synchronous = task->synchronous;

	task->run(control, task);
	control_run_effects(control, clk_monotonic_ms(&control->clk));
	if (!synchronous) {
		g_free(task);
		return;
	}
	pthread_mutex_lock(&task->mutex);
	task->done = true;
	pthread_cond_signal(&task->done_cond);
	pthread_mutex_unlock(&task->mutex);
}

void
mailbox_run(struct control *control)
{
	for (int i = 0; i < TASKS_PER_RUN; i++) {
		struct control_task *task = mailbox_pop(control);

		if (task == NULL)
			return;
		run_task(control, task);
	}
	wake_control_thread(control);
}

void
mailbox_discard(struct control *control)
{
	struct control_task *task;

	while ((task = mailbox_pop(control)) != NULL)
		g_free(task);
}

static void
run_submit(struct control *control, struct control_task *task)
{
	struct ticket *ticket = task->ticket;
	uint64_t now_ms = clk_monotonic_ms(&control->clk);

	ticket->params.deadline_ms = now_ms +
	    control->settings->queue_timeout_ms;
	ticket->seq = entry_submit(&control->entry, &ticket->params, now_ms,
	    &control->effects);
	g_hash_table_insert(control->tickets, &ticket->seq, ticket);
}

static void
run_release(struct control *control, struct control_task *task)
{
	struct ticket *ticket = task->ticket;

	entry_done(&control->entry, ticket->seq, atomic_load(&ticket->tokens),
	    task->outcome, &control->effects);
	g_hash_table_remove(control->tickets, &ticket->seq);
	pthread_mutex_destroy(&ticket->mutex);
	pthread_cond_destroy(&ticket->changed);
	g_free(ticket);
}

struct ticket *
control_acquire_slot(struct control *control,
    const struct entry_request_params *params)
{
	struct ticket *ticket = g_new0(struct ticket, 1);

	pthread_mutex_init(&ticket->mutex, NULL);
	pthread_cond_init(&ticket->changed, NULL);
	ticket->params = *params;
	mailbox_post(control, run_submit, ticket, DONE_COMPLETE);
	pthread_mutex_lock(&ticket->mutex);
	while (ticket->state == TICKET_WAITING)
		pthread_cond_wait(&ticket->changed, &ticket->mutex);
	pthread_mutex_unlock(&ticket->mutex);
	return ticket;
}

void
control_release_slot(struct control *control, struct ticket *ticket,
    enum done_outcome outcome)
{
	mailbox_post(control, run_release, ticket, outcome);
}

static void
run_drain(struct control *control, struct control_task *task)
{
	(void)task;
	members_leave(&control->members, &control->effects);
	entry_drain(&control->entry, &control->effects);
}

void
control_drain(struct control *control)
{
	mailbox_post(control, run_drain, NULL, DONE_COMPLETE);
}

static void
run_detach(struct control *control, struct control_task *task)
{
	(void)task;
	control->gateway = NULL;
}

void
control_detach_gateway(struct control *control)
{
	struct control_task task = { .run = run_detach };

	mailbox_post_and_wait(control, &task);
}

static void
run_count(struct control *control, struct control_task *task)
{
	uint32_t waiting_count, running_count;

	entry_counts(&control->entry, &waiting_count, &running_count);
	task->count = waiting_count + running_count;
}

uint32_t
control_active_count(struct control *control)
{
	struct control_task task = { .run = run_count };

	mailbox_post_and_wait(control, &task);
	return task.count;
}

static void
run_dump(struct control *control, struct control_task *task)
{
	task->json = dump_control(control);
}

json_t *
control_dump(struct control *control)
{
	struct control_task task = { .run = run_dump };

	mailbox_post_and_wait(control, &task);
	return task.json;
}

static void
run_explain(struct control *control, struct control_task *task)
{
	task->json = explain_request(control, task->context);
}

json_t *
control_explain(struct control *control, struct explain_question *question)
{
	struct control_task task = { .run = run_explain, .context = question };

	mailbox_post_and_wait(control, &task);
	return task.json;
}
