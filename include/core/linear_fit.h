/**
 * @file
 * Straight line through measured points, the newer ones of which weigh more.
 */
#ifndef CORE_LINEAR_FIT_H
#define CORE_LINEAR_FIT_H

#include <stdint.h>

/** Largest x of a point; larger ones are cut. */
#define LINEAR_FIT_X_MAX (1 << 20)
/** Largest y of a point; larger ones are cut. */
#define LINEAR_FIT_Y_MAX 10000000

/** A line: y = intercept + slope_milli * x / 1000. */
struct line {
	int64_t intercept;
	int64_t slope_milli;
};

/** Least squares over points whose weight falls by a 32nd with each new one. */
struct linear_fit {
	int64_t weight;
	int64_t sum_x, sum_y, sum_xx, sum_xy; /**< weighted */
	struct line line;
};

/**
 * Starts with a line that weighs as much as some points.
 * @param far_x the line counts as measured at 0 and here
 */
void linear_fit_init(struct linear_fit *fit, const struct line *line,
    uint32_t points_count, int64_t far_x);

/** Adds a measured point. While all points have about the same x, the slope stays
 * as it is. */
void linear_fit_add(struct linear_fit *fit, int64_t x, int64_t y);

#endif
