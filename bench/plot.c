#include "plot.h"

#include <math.h>
#include <stdio.h>

#include "bench.h"

#define WIDTH 900.0
#define PANEL_HEIGHT 340.0
#define TITLE_HEIGHT 40.0
#define MARGIN_LEFT 80.0
#define MARGIN_RIGHT 170.0
#define MARGIN_TOP 36.0
#define MARGIN_BOTTOM 48.0
#define TICKS_COUNT 5u
#define LEGEND_LINE_HEIGHT 15.0
#define HUE_STEP_DEGREES 47u
#define HUE_RANGE_DEGREES 360u

/* Position and scales of one panel. */
struct panel {
	double top;
	double x_max_s, y_max_tokens;
};

void
plot_init(struct plot *plot, uint32_t panels_count, const char *title)
{
	double height = TITLE_HEIGHT + panels_count * PANEL_HEIGHT;

	plot->panels_count = panels_count;
	plot->drawn_panels_count = 0;
	plot->text = g_string_new(NULL);
	g_string_append_printf(plot->text,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
	    "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
	    "<text x=\"%.0f\" y=\"26\" font-size=\"16\">%s</text>\n",
	    WIDTH, height, MARGIN_LEFT, title);
}

static double
plot_x(const struct panel *panel, double seconds)
{
	return MARGIN_LEFT +
	    (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) * seconds / panel->x_max_s;
}

static double
plot_y(const struct panel *panel, double tokens)
{
	double height = PANEL_HEIGHT - MARGIN_TOP - MARGIN_BOTTOM;

	return panel->top + MARGIN_TOP +
	    height * (1 - tokens / panel->y_max_tokens);
}

/* Rounds up to 1, 2 or 5 times a power of ten. */
static double
round_up(double value)
{
	double power = pow(10, floor(log10(fmax(value, 1))));

	if (value <= power)
		return power;
	if (value <= 2 * power)
		return 2 * power;
	return value <= 5 * power ? 5 * power : 10 * power;
}

static void
draw_axes(struct plot *plot, const struct panel *panel, const char *title)
{
	double end_x = WIDTH - MARGIN_RIGHT, zero_y = plot_y(panel, 0);

	g_string_append_printf(plot->text,
	    "<text x=\"%.0f\" y=\"%.0f\" font-size=\"14\">%s</text>\n"
	    "<text x=\"%.0f\" y=\"%.0f\">seconds</text>\n"
	    "<text transform=\"translate(16 %.0f) rotate(-90)\">tokens "
	    "received "
	    "by weight</text>\n",
	    MARGIN_LEFT, panel->top + MARGIN_TOP - 12, title,
	    (MARGIN_LEFT + end_x) / 2, zero_y + 36, zero_y - 40);
	for (uint32_t i = 0; i <= TICKS_COUNT; i++) {
		double tokens = panel->y_max_tokens * i / TICKS_COUNT;
		double seconds = panel->x_max_s * i / TICKS_COUNT;
		double x = plot_x(panel, seconds), y = plot_y(panel, tokens);
		g_string_append_printf(plot->text,
		    "<path d=\"M%.1f %.1fH%.1f\" stroke=\"#ddd\"/>"
		    "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"end\">%.0f"
		    "</text><text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">"
		    "%.1f</text>\n",
		    MARGIN_LEFT, y, end_x, MARGIN_LEFT - 6, y + 4, tokens, x,
		    zero_y + 18, seconds);
	}
	g_string_append_printf(plot->text,
	    "<path d=\"M%.1f %.1fV%.1fH%.1f\" fill=\"none\" "
	    "stroke=\"black\"/>\n",
	    MARGIN_LEFT, panel->top + MARGIN_TOP, zero_y, end_x);
}

static double
weighted_tokens(const struct service_tracker *tracker, uint32_t sample,
    uint32_t account)
{
	uint64_t tokens = service_tracker_at(tracker, sample, account)
			      ->service_tokens -
	    service_tracker_at(tracker, 0, account)->service_tokens;

	return (double)tokens / tracker->weights[account];
}

static void
draw_account(struct plot *plot, const struct panel *panel,
    const struct scenario *scenario, const struct service_tracker *tracker,
    uint32_t account)
{
	uint32_t count = service_tracker_samples_count(tracker);
	uint32_t hue = account * HUE_STEP_DEGREES % HUE_RANGE_DEGREES;
	double width = scenario->accounts[account].large ? 2.5 : 1.2;
	double legend_y = panel->top + MARGIN_TOP +
	    account * LEGEND_LINE_HEIGHT;

	g_string_append_printf(plot->text,
	    "<polyline fill=\"none\" stroke=\"hsl(%u,70%%,42%%)\" "
	    "stroke-width=\"%.1f\" points=\"",
	    hue, width);
	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(plot->text, "%.1f,%.1f ",
		    plot_x(panel,
			i * (double)SERVICE_SAMPLE_PERIOD_US / US_PER_S),
		    plot_y(panel, weighted_tokens(tracker, i, account)));
	g_string_append_printf(plot->text,
	    "\"/>\n<text x=\"%.0f\" y=\"%.0f\" font-size=\"11\" "
	    "fill=\"hsl(%u,70%%,32%%)\">%s%s</text>\n",
	    WIDTH - MARGIN_RIGHT + 10, legend_y, hue,
	    scenario->accounts[account].name,
	    scenario->accounts[account].large ? " (large)" : "");
}

void
plot_add(struct plot *plot, const char *title, const struct scenario *scenario,
    const struct service_tracker *tracker)
{
	uint32_t count = service_tracker_samples_count(tracker);
	struct panel panel = { .top = TITLE_HEIGHT +
		    plot->drawn_panels_count * PANEL_HEIGHT,
		.x_max_s = (count - 1) * (double)SERVICE_SAMPLE_PERIOD_US /
		    US_PER_S,
		.y_max_tokens = 1 };

	for (uint32_t i = 0; i < tracker->account_count; i++)
		panel.y_max_tokens = fmax(panel.y_max_tokens,
		    weighted_tokens(tracker, count - 1, i));
	panel.y_max_tokens = round_up(panel.y_max_tokens);
	draw_axes(plot, &panel, title);
	for (uint32_t i = 0; i < tracker->account_count; i++)
		draw_account(plot, &panel, scenario, tracker, i);
	plot->drawn_panels_count++;
}

void
plot_write(struct plot *plot, const char *directory, const char *name)
{
	char *path = g_build_filename(directory, name, NULL);

	g_string_append(plot->text, "</svg>\n");
	if (g_mkdir_with_parents(directory, 0755) != 0 ||
	    !g_file_set_contents(path, plot->text->str, -1, NULL))
		bench_fatal("cannot write %s", path);
	printf("plot=%s\n", path);
	g_free(path);
	g_string_free(plot->text, TRUE);
}
