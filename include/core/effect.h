/**
 * @file
 * Effects that the core returns for its caller to carry out, since the core
 * performs no input or output itself.
 */
#ifndef CORE_EFFECT_H
#define CORE_EFFECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/crash_suspects.h"
#include "core/msg.h"

enum effect_type {
	EFFECT_SEND, /**< send msg to the node to_node_id */
	EFFECT_START, /**< start the request seq at endpoint_id */
	EFFECT_REFUSE, /**< refuse the request seq, which has not run */
	EFFECT_MEMBER_UP,
	EFFECT_MEMBER_DOWN,
	/** log that the phase of the prompt segment segment_id has changed */
	EFFECT_SUSPECT_CHANGED,
	/** log that the limit of endpoint_id has changed */
	EFFECT_LIMIT_CHANGED,
	/** log that the health of endpoint_id has changed */
	EFFECT_HEALTH_CHANGED,
	/** log that endpoint_id has said that it leaves or pauses */
	EFFECT_STATEMENT,
	/** log that endpoint_id became cold */
	EFFECT_ENDPOINT_COLD,
	/** the decision on the attempt seq can be taken */
	EFFECT_DECIDED
};

struct effect {
	enum effect_type type;
	uint64_t to_node_id;
	uint64_t seq;
	uint64_t endpoint_id;
	uint32_t retry_after_ms;
	enum refuse_reason reason;
	uint64_t segment_id;
	enum suspect_phase phase;
	uint32_t limit_per_1000_s; /**< requests in 1,000 s; 0: none */
	uint32_t crashes_count; /**< engine processes that crashed with it */
	bool ejected; /**< EFFECT_HEALTH_CHANGED; false: back in routing */
	uint32_t failing_permille;
	uint32_t eject_ms;
	bool leaving; /**< EFFECT_STATEMENT */
	uint32_t pause_ms;
	bool unconfirmed; /**< EFFECT_ENDPOINT_COLD: it may have restarted */
	uint32_t cold_ms; /**< EFFECT_ENDPOINT_COLD; 0: until it responds */
	struct msg msg;
};

/** List of effects. The caller owns it and clears it after carrying out the
 * effects of each call. */
struct effects {
	struct effect *items;
	size_t count;
	size_t capacity;
};

void effects_init(struct effects *effects);
void effects_finish(struct effects *effects);

/** Empties the list and frees the arrays of its messages. */
void effects_clear(struct effects *effects);

/**
 * Appends an effect of the given type with all other fields zero.
 * @return never NULL
 */
struct effect *effects_add(struct effects *effects, enum effect_type type);

/** Appends an EFFECT_SEND and returns its message for the caller to fill in. */
struct msg *effects_send(struct effects *effects, uint64_t to_node_id,
    enum msg_type type);

#endif
