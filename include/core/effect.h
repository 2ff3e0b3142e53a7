/**
 * @file
 * Effects that a core asks its surroundings to carry out.
 */
#ifndef CORE_EFFECT_H
#define CORE_EFFECT_H

#include <stddef.h>
#include <stdint.h>

#include "core/msg.h"

enum effect_type {
	EFFECT_SEND, /**< send msg to node to_node_id */
	EFFECT_START, /**< start request seq at endpoint_id */
	EFFECT_REFUSE, /**< refuse request seq as not run */
	EFFECT_MEMBER_UP,
	EFFECT_MEMBER_DOWN
};

struct effect {
	enum effect_type type;
	uint64_t to_node_id;
	uint64_t seq;
	uint64_t endpoint_id;
	uint32_t retry_after_ms;
	enum refuse_reason reason;
	struct msg msg;
};

/** A caller-owned list of effects, emptied by the caller after each step. */
struct effects {
	struct effect *items;
	size_t count;
	size_t capacity;
};

void effects_init(struct effects *effects);
void effects_finish(struct effects *effects);
void effects_clear(struct effects *effects);

/** Appends an effect, zeroed but for its type; never NULL. */
struct effect *effects_add(struct effects *effects, enum effect_type type);

/** Appends a message to a node and returns it for filling in. */
struct msg *effects_send(struct effects *effects, uint64_t to_node_id,
    enum msg_type type);

#endif
