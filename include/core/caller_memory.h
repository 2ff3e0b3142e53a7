/**
 * @file
 * Account of the memory that all callers together make a daemon hold, and who
 * has to give way when it is used up.
 *
 * Load: callers that open many connections, or send or read slowly on purpose.
 * The one that holds most for longest gives way first, so that ordinary
 * requests, which hold little for a short time, find room. Connections that wait
 * for the daemon or an endpoint are left alone: their callers are not to blame.
 */
#ifndef CORE_CALLER_MEMORY_H
#define CORE_CALLER_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum caller_memory_part {
	CALLER_MEMORY_CONNECTION, /**< the server's, heads included */
	CALLER_MEMORY_BODY, /**< of a request */
	CALLER_MEMORY_RESPONSE, /**< bytes that the caller has not taken */
	CALLER_MEMORY_PART_COUNT
};

/** What one connection holds. */
struct caller_holder {
	uint64_t bytes[CALLER_MEMORY_PART_COUNT];
	bool waiting; /**< the daemon waits for the caller */
	uint64_t waiting_since_ms;
	guint index; /**< among the holders */
};

struct caller_memory {
	GPtrArray *holders; /**< struct caller_holder, owned by the caller */
	uint64_t used_bytes[CALLER_MEMORY_PART_COUNT];
	uint64_t max_bytes; /**< for all parts together */
	uint32_t holders_max_count;
};

void caller_memory_init(struct caller_memory *memory, uint64_t max_bytes,
    uint32_t holders_max_count);
void caller_memory_finish(struct caller_memory *memory);

/** Adds a connection whose caller is to send a request. */
void caller_memory_join(struct caller_memory *memory,
    struct caller_holder *holder, uint64_t now_ms);
void caller_memory_leave(struct caller_memory *memory,
    struct caller_holder *holder);

/** Sets how much a connection holds for a part. */
void caller_memory_set(struct caller_memory *memory,
    struct caller_holder *holder, enum caller_memory_part part, uint64_t bytes);

/** Records that the daemon waits for the caller, if it did not do so before. */
void caller_memory_wait(struct caller_holder *holder, uint64_t now_ms);

/** Records that the caller waits for the daemon. */
void caller_memory_serve(struct caller_holder *holder);

/** @return bytes that all connections hold */
uint64_t caller_memory_used_bytes(const struct caller_memory *memory);

/** @return whether more is held than there is room for */
bool caller_memory_is_over(const struct caller_memory *memory);

/** @return the connection that has to give way; NULL if none has to, or all of
 * them wait for the daemon */
struct caller_holder *caller_memory_victim(const struct caller_memory *memory,
    uint64_t now_ms);

#endif
