#include "plot.h"

#include <math.h>
#include <stdio.h>

#include "bench.h"

#define WIDTH 900.0
#define PANEL_HEIGHT 340.0
#define HEAD_HEIGHT 40.0
#define LEFT 80.0
#define RIGHT 170.0
#define TOP 36.0
#define BOTTOM 48.0
#define TICKS_COUNT 5u
#define LEGEND_STEP 15.0
#define HUE_STEP 47u
#define HUES_COUNT 360u

/* The place and scales of one panel. */
struct panel {
	double top;
	double seconds, tokens; /* ends of the axes */
};

void
plot_init(struct plot *plot, uint32_t panels_count, const char *title)
{
	double height = HEAD_HEIGHT + panels_count * PANEL_HEIGHT;

	plot->panels_count = panels_count;
	plot->panels_drawn = 0;
	plot->text = g_string_new(NULL);
	g_string_append_printf(plot->text,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
	    "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
	    "<text x=\"%.0f\" y=\"26\" font-size=\"16\">%s</text>\n",
	    WIDTH, height, LEFT, title);
}

static double
x_of(const struct panel *panel, double seconds)
{
	return LEFT + (WIDTH - LEFT - RIGHT) * seconds / panel->seconds;
}

static double
y_of(const struct panel *panel, double tokens)
{
	double height = PANEL_HEIGHT - TOP - BOTTOM;

	return panel->top + TOP + height * (1 - tokens / panel->tokens);
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
	double end_x = WIDTH - RIGHT, zero_y = y_of(panel, 0);

	g_string_append_printf(plot->text,
	    "<text x=\"%.0f\" y=\"%.0f\" font-size=\"14\">%s</text>\n"
	    "<text x=\"%.0f\" y=\"%.0f\">seconds</text>\n"
	    "<text transform=\"translate(16 %.0f) rotate(-90)\">tokens "
	    "received "
	    "by weight</text>\n",
	    LEFT, panel->top + TOP - 12, title, (LEFT + end_x) / 2, zero_y + 36,
	    zero_y - 40);
	for (uint32_t i = 0; i <= TICKS_COUNT; i++) {
		double tokens = panel->tokens * i / TICKS_COUNT;
		double seconds = panel->seconds * i / TICKS_COUNT;
		double x = x_of(panel, seconds), y = y_of(panel, tokens);
		g_string_append_printf(plot->text,
		    "<path d=\"M%.1f %.1fH%.1f\" stroke=\"#ddd\"/>"
		    "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"end\">%.0f"
		    "</text><text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">"
		    "%.1f</text>\n",
		    LEFT, y, end_x, LEFT - 6, y + 4, tokens, x, zero_y + 18,
		    seconds);
	}
	g_string_append_printf(plot->text,
	    "<path d=\"M%.1f %.1fV%.1fH%.1f\" fill=\"none\" "
	    "stroke=\"black\"/>\n",
	    LEFT, panel->top + TOP, zero_y, end_x);
}

static double
received(const struct share *share, uint32_t sample, uint32_t account)
{
	uint64_t tokens = share_at(share, sample, account)->service_tokens -
	    share_at(share, 0, account)->service_tokens;

	return (double)tokens / share->weights[account];
}

static void
draw_account(struct plot *plot, const struct panel *panel,
    const struct scenario *scenario, const struct share *share,
    uint32_t account)
{
	uint32_t count = share_samples_count(share);
	uint32_t hue = account * HUE_STEP % HUES_COUNT;
	double width = scenario->accounts[account].large ? 2.5 : 1.2;
	double legend_y = panel->top + TOP + account * LEGEND_STEP;

	g_string_append_printf(plot->text,
	    "<polyline fill=\"none\" stroke=\"hsl(%u,70%%,42%%)\" "
	    "stroke-width=\"%.1f\" points=\"",
	    hue, width);
	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(plot->text, "%.1f,%.1f ",
		    x_of(panel, i * (double)SHARE_SAMPLE_US / US_PER_S),
		    y_of(panel, received(share, i, account)));
	g_string_append_printf(plot->text,
	    "\"/>\n<text x=\"%.0f\" y=\"%.0f\" font-size=\"11\" "
	    "fill=\"hsl(%u,70%%,32%%)\">%s%s</text>\n",
	    WIDTH - RIGHT + 10, legend_y, hue, scenario->accounts[account].name,
	    scenario->accounts[account].large ? " (large)" : "");
}

void
plot_add(struct plot *plot, const char *title, const struct scenario *scenario,
    const struct share *share)
{
	uint32_t count = share_samples_count(share);
	struct panel panel = { .top = HEAD_HEIGHT +
		    plot->panels_drawn * PANEL_HEIGHT,
		.seconds = (count - 1) * (double)SHARE_SAMPLE_US / US_PER_S,
		.tokens = 1 };

	for (uint32_t i = 0; i < share->account_count; i++)
		panel.tokens = fmax(panel.tokens,
		    received(share, count - 1, i));
	panel.tokens = round_up(panel.tokens);
	draw_axes(plot, &panel, title);
	for (uint32_t i = 0; i < share->account_count; i++)
		draw_account(plot, &panel, scenario, share, i);
	plot->panels_drawn++;
}

void
plot_write(struct plot *plot, const char *folder, const char *name)
{
	char *path = g_build_filename(folder, name, NULL);

	g_string_append(plot->text, "</svg>\n");
	if (g_mkdir_with_parents(folder, 0755) != 0 ||
	    !g_file_set_contents(path, plot->text->str, -1, NULL))
		bench_die("cannot write %s", path);
	printf("plot=%s\n", path);
	g_free(path);
	g_string_free(plot->text, TRUE);
}
