#include "core/linear_fit.h"

#include <glib.h>
#include <string.h>

#define POINT_WEIGHT 16
#define DECAY_PARTS 32
#define MILLI 1000
/* The slope is left alone while x varies by less than this part of its mean. */
#define SPREAD_MIN_PERCENT 10
#define SPREAD_MIN_SQUARED_PARTS                                               \
	((100 / SPREAD_MIN_PERCENT) * (100 / SPREAD_MIN_PERCENT))

static void
add_weighted(struct linear_fit *fit, int64_t x, int64_t y, int64_t weight)
{
	x = CLAMP(x, 0, LINEAR_FIT_X_MAX);
	y = CLAMP(y, 0, LINEAR_FIT_Y_MAX);
	fit->weight += weight;
	fit->sum_x += weight * x;
	fit->sum_y += weight * y;
	fit->sum_xx += weight * x * x;
	fit->sum_xy += weight * x * y;
}

void
linear_fit_init(struct linear_fit *fit, const struct line *line,
    uint32_t points_count, int64_t far_x)
{
	int64_t weight = (int64_t)points_count * POINT_WEIGHT / 2;

	memset(fit, 0, sizeof(*fit));
	fit->line = *line;
	add_weighted(fit, 0, line->intercept, weight);
	add_weighted(fit, far_x,
	    line->intercept + line->slope_milli * far_x / MILLI, weight);
}

static void
decay(struct linear_fit *fit)
{
	fit->weight -= fit->weight / DECAY_PARTS;
	fit->sum_x -= fit->sum_x / DECAY_PARTS;
	fit->sum_y -= fit->sum_y / DECAY_PARTS;
	fit->sum_xx -= fit->sum_xx / DECAY_PARTS;
	fit->sum_xy -= fit->sum_xy / DECAY_PARTS;
}

static void
update_line(struct linear_fit *fit)
{
	int64_t spread = fit->weight * fit->sum_xx - fit->sum_x * fit->sum_x;

	if (spread > fit->sum_x * fit->sum_x / SPREAD_MIN_SQUARED_PARTS &&
	    spread >= MILLI)
		fit->line.slope_milli = (fit->weight * fit->sum_xy -
					    fit->sum_x * fit->sum_y) /
		    (spread / MILLI);
	fit->line.intercept = (fit->sum_y -
				  fit->line.slope_milli * fit->sum_x / MILLI) /
	    fit->weight;
}

void
linear_fit_add(struct linear_fit *fit, int64_t x, int64_t y)
{
	decay(fit);
	add_weighted(fit, x, y, POINT_WEIGHT);
	update_line(fit);
}
