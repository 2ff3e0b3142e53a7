/**
 * @file
 * SVG plots of the service of each account over time.
 */
#ifndef BENCH_PLOT_H
#define BENCH_PLOT_H

#include <glib.h>

#include "scenario.h"
#include "service_tracker.h"

struct plot {
	GString *text;
	uint32_t panels_count;
	uint32_t drawn_panels_count;
};

void plot_init(struct plot *plot, uint32_t panels_count, const char *title);
/** Adds a panel with one line for each account. */
void plot_add(struct plot *plot, const char *title,
    const struct scenario *scenario, const struct service_tracker *tracker);
/** Writes the file and frees the plot; exits if the file cannot be written. */
void plot_write(struct plot *plot, const char *directory, const char *name);

#endif
