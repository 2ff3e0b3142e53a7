/**
 * @file
 * Clock interface, so that tests can replace the system time.
 */
#ifndef COMMON_CLK_H
#define COMMON_CLK_H

#include <stdint.h>
#include <time.h>

struct clk_ops {
	void (*monotonic)(void *context, struct timespec *out);
	void (*wall)(void *context, struct timespec *out);
};

struct clk {
	const struct clk_ops *ops;
	void *context;
};

/** Initialises a clock that returns the system time. */
void clk_init_system(struct clk *clk);

uint64_t clk_monotonic_ms(const struct clk *clk);
uint64_t clk_monotonic_us(const struct clk *clk);
uint64_t clk_wall_ms(const struct clk *clk);

#endif
