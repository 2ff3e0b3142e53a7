#include "bench.h"
#include <stdlib.h>
int
bench_relay(const struct bench_options *options)
{
	(void)options;
	return EXIT_FAILURE;
}

int
bench_slopes(const struct bench_options *options)
{
	(void)options;
	return EXIT_FAILURE;
}
