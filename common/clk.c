#include "common/clk.h"

#include <stddef.h>

#define MS_PER_S 1000u
#define US_PER_S 1000000u
#define NS_PER_MS 1000000u
#define NS_PER_US 1000u

static void
system_monotonic(void *context, struct timespec *out)
{
	(void)context;
	clock_gettime(CLOCK_MONOTONIC, out);
}

static void
system_wall(void *context, struct timespec *out)
{
	(void)context;
	clock_gettime(CLOCK_REALTIME, out);
}

void
clk_init_system(struct clk *clk)
{
	static const struct clk_ops ops = { system_monotonic, system_wall };

	clk->ops = &ops;
	clk->context = NULL;
}

static uint64_t
timespec_ms(const struct timespec *time)
{
	return (uint64_t)time->tv_sec * MS_PER_S +
	    (uint64_t)time->tv_nsec / NS_PER_MS;
}

uint64_t
clk_monotonic_ms(const struct clk *clk)
{
	struct timespec now;

	clk->ops->monotonic(clk->context, &now);
	return timespec_ms(&now);
}

uint64_t
clk_monotonic_us(const struct clk *clk)
{
	struct timespec now;

	clk->ops->monotonic(clk->context, &now);
	return (uint64_t)now.tv_sec * US_PER_S +
	    (uint64_t)now.tv_nsec / NS_PER_US;
}

uint64_t
clk_wall_ms(const struct clk *clk)
{
	struct timespec now;

	clk->ops->wall(clk->context, &now);
	return timespec_ms(&now);
}
