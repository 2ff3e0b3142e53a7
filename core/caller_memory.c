#include "core/caller_memory.h"

void
caller_memory_init(struct caller_memory *memory, uint64_t max_bytes,
    uint32_t holders_max_count)
{
	memory->holders = g_ptr_array_new();
	for (int part = 0; part < CALLER_MEMORY_PART_COUNT; part++)
		memory->used_bytes[part] = 0;
	memory->max_bytes = max_bytes;
	memory->holders_max_count = holders_max_count;
}

void
caller_memory_finish(struct caller_memory *memory)
{
	g_ptr_array_free(memory->holders, TRUE);
}

void
caller_memory_join(struct caller_memory *memory, struct caller_holder *holder,
    uint64_t now_ms)
{
	for (int part = 0; part < CALLER_MEMORY_PART_COUNT; part++)
		holder->bytes[part] = 0;
	holder->waiting = true;
	holder->waiting_since_ms = now_ms;
	holder->index = memory->holders->len;
	g_ptr_array_add(memory->holders, holder);
}

void
caller_memory_leave(struct caller_memory *memory, struct caller_holder *holder)
{
	struct caller_holder *last;

	for (int part = 0; part < CALLER_MEMORY_PART_COUNT; part++)
		caller_memory_set(memory, holder, part, 0);
	last = memory->holders->pdata[memory->holders->len - 1];
	last->index = holder->index;
	g_ptr_array_remove_index_fast(memory->holders, holder->index);
}

void
caller_memory_set(struct caller_memory *memory, struct caller_holder *holder,
    enum caller_memory_part part, uint64_t bytes)
{
	memory->used_bytes[part] += bytes - holder->bytes[part];
	holder->bytes[part] = bytes;
}

void
caller_memory_wait(struct caller_holder *holder, uint64_t now_ms)
{
	if (holder->waiting)
		return;
	holder->waiting = true;
	holder->waiting_since_ms = now_ms;
}

void
caller_memory_serve(struct caller_holder *holder)
{
	holder->waiting = false;
}

uint64_t
caller_memory_used_bytes(const struct caller_memory *memory)
{
	uint64_t bytes = 0;

	for (int part = 0; part < CALLER_MEMORY_PART_COUNT; part++)
		bytes += memory->used_bytes[part];
	return bytes;
}

bool
caller_memory_is_over(const struct caller_memory *memory)
{
	return caller_memory_used_bytes(memory) > memory->max_bytes ||
	    memory->holders->len > memory->holders_max_count;
}

/* Bytes held, times how long the daemon has waited for the caller. */
static uint64_t
weight(const struct caller_holder *holder, uint64_t now_ms)
{
	uint64_t bytes = 0;

	for (int part = 0; part < CALLER_MEMORY_PART_COUNT; part++)
		bytes += holder->bytes[part];
	return bytes * (now_ms - MIN(holder->waiting_since_ms, now_ms) + 1);
}

struct caller_holder *
caller_memory_victim(const struct caller_memory *memory, uint64_t now_ms)
{
	struct caller_holder *victim = NULL;
	uint64_t most = 0;

	if (!caller_memory_is_over(memory))
		return NULL;
	for (guint i = 0; i < memory->holders->len; i++) {
		struct caller_holder *holder = memory->holders->pdata[i];
		uint64_t own = holder->waiting ? weight(holder, now_ms) : 0;

		if (own <= most)
			continue;
		most = own;
		victim = holder;
	}
	return victim;
}
