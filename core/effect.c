#include "core/effect.h"

#include <glib.h>
#include <string.h>

void
effects_init(struct effects *effects)
{
	memset(effects, 0, sizeof(*effects));
}

void
effects_clear(struct effects *effects)
{
	for (size_t i = 0; i < effects->count; i++) {
		const struct effect *effect = &effects->items[i];
		if (effect->type != EFFECT_SEND)
			continue;
		if (effect->msg.type == MSG_MEMBER_LIST)
			g_free((gpointer)effect->msg.u.member_list.items);
		if (effect->msg.type == MSG_REPORT)
			g_free((gpointer)effect->msg.u.report.accounts);
		if (effect->msg.type == MSG_ATTEMPT_EVENTS)
			g_free((gpointer)effect->msg.u.attempt_events.items);
		if (effect->msg.type == MSG_RUNNING_ATTEMPTS)
			g_free((gpointer)effect->msg.u.running_attempts.items);
		if (effect->msg.type == MSG_CRASH_RECORDS)
			g_free((gpointer)effect->msg.u.crash_records.items);
		if (effect->msg.type == MSG_ENDPOINT_LIMITS)
			g_free((gpointer)effect->msg.u.endpoint_limits.items);
		if (effect->msg.type != MSG_REQUEST_REPORT)
			continue;
		g_free((gpointer)effect->msg.u.request_report.items);
		g_free((gpointer)effect->msg.u.request_report.vtimes);
	}
	effects->count = 0;
}

void
effects_finish(struct effects *effects)
{
	effects_clear(effects);
	g_free(effects->items);
	memset(effects, 0, sizeof(*effects));
}

struct effect *
effects_add(struct effects *effects, enum effect_type type)
{
	struct effect *effect;

	if (effects->count == effects->capacity) {
		effects->capacity = MAX(16, effects->capacity * 2);
		effects->items = g_renew(struct effect, effects->items,
		    effects->capacity);
	}
	effect = &effects->items[effects->count++];
	memset(effect, 0, sizeof(*effect));
	effect->type = type;
	return effect;
}

struct msg *
effects_send(struct effects *effects, uint64_t to_node_id, enum msg_type type)
{
	struct effect *effect = effects_add(effects, EFFECT_SEND);

	effect->to_node_id = to_node_id;
	effect->msg.type = type;
	return &effect->msg;
}
