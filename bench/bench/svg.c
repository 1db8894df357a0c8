/**
 * @file
 * Writes line charts as SVG files.
 */
#include <math.h>
#include <stdio.h>

#include "bench/bench/svg.h"

/* Sizes and positions in pixels. The legend is to the right of the plot. */
#define WIDTH 960
#define HEIGHT 480
#define PLOT_LEFT 80.0
#define PLOT_RIGHT 720.0
#define PLOT_TOP 90.0
#define PLOT_BOTTOM 420.0
#define LEGEND_X 740.0
#define LEGEND_LINE_HEIGHT 22.0
#define X_TICK_STEP 10.0 /* seconds */

static double
x_position(const struct svg_chart *chart, double seconds)
{
	return PLOT_LEFT + (PLOT_RIGHT - PLOT_LEFT) * seconds / chart->duration;
}

/* Returns the position of a value, clamped to the range of the axis. */
static double
y_position(const struct svg_chart *chart, double value)
{
	double low = chart->y_ticks[0];
	double high = chart->y_ticks[chart->n_y_ticks - 1];

	value = fmin(fmax(value, low), high);
	if (chart->log_scale)
		return PLOT_BOTTOM -
		    (PLOT_BOTTOM - PLOT_TOP) * log(value / low) /
		    log(high / low);
	return PLOT_BOTTOM -
	    (PLOT_BOTTOM - PLOT_TOP) * (value - low) / (high - low);
}

static void
write_text(FILE *file, double x, double y, int size, const char *anchor,
    const char *text)
{
	fprintf(file,
	    "<text x=\"%.1f\" y=\"%.1f\" font-size=\"%d\" "
	    "text-anchor=\"%s\">%s</text>\n",
	    x, y, size, anchor, text);
}

static void
write_line(
    FILE *file, double x1, double y1, double x2, double y2, const char *colour)
{
	fprintf(file,
	    "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
	    "stroke=\"%s\"/>\n",
	    x1, y1, x2, y2, colour);
}

static void
write_events(FILE *file, const struct svg_chart *chart)
{
	for (size_t i = 0; i < chart->n_events; i++) {
		const struct svg_event *event = &chart->events[i];
		double from = x_position(chart, event->from);
		double until = x_position(chart, event->until);

		if (until > from)
			fprintf(file,
			    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
			    "height=\"%.1f\" fill=\"#eeeeee\"/>\n",
			    from, PLOT_TOP, until - from,
			    PLOT_BOTTOM - PLOT_TOP);
		else
			write_line(file, from, PLOT_TOP - 4, from, PLOT_BOTTOM,
			    "#888888");
		write_text(file, from, PLOT_TOP - 8, 12, "start", event->name);
	}
}

static void
write_axes(FILE *file, const struct svg_chart *chart)
{
	char text[32];

	for (size_t i = 0; i < chart->n_y_ticks; i++) {
		double y = y_position(chart, chart->y_ticks[i]);

		write_line(file, PLOT_LEFT, y, PLOT_RIGHT, y, "#dddddd");
		snprintf(text, sizeof(text), "%g", chart->y_ticks[i]);
		write_text(file, PLOT_LEFT - 8, y + 4, 12, "end", text);
	}
	for (int i = 0; i * X_TICK_STEP <= chart->duration; i++) {
		double seconds = i * X_TICK_STEP;
		double x = x_position(chart, seconds);

		write_line(file, x, PLOT_BOTTOM, x, PLOT_BOTTOM + 5, "#000000");
		snprintf(text, sizeof(text), "%g", seconds);
		write_text(file, x, PLOT_BOTTOM + 20, 12, "middle", text);
	}
	write_line(
	    file, PLOT_LEFT, PLOT_BOTTOM, PLOT_RIGHT, PLOT_BOTTOM, "#000000");
	write_line(
	    file, PLOT_LEFT, PLOT_TOP, PLOT_LEFT, PLOT_BOTTOM, "#000000");
	write_text(file, (PLOT_LEFT + PLOT_RIGHT) / 2, PLOT_BOTTOM + 44, 13,
	    "middle", "time of arrival, s");
	fprintf(file,
	    "<text x=\"24\" y=\"%.1f\" font-size=\"13\" "
	    "text-anchor=\"middle\" transform=\"rotate(-90 24 %.1f)\">"
	    "%s</text>\n",
	    (PLOT_TOP + PLOT_BOTTOM) / 2, (PLOT_TOP + PLOT_BOTTOM) / 2,
	    chart->y_label);
}

/* Returns the value of stroke-dasharray. */
static const char *
dash_pattern(const struct svg_series *series)
{
	return series->dashed ? "6 4" : "none";
}

static void
write_series(
    FILE *file, const struct svg_chart *chart, const struct svg_series *series)
{
	fprintf(file,
	    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
	    "stroke-dasharray=\"%s\" points=\"",
	    series->colour, dash_pattern(series));
	for (size_t i = 0; i < series->n; i++) {
		if (isnan(series->values[i]))
			continue;
		fprintf(file, "%.1f,%.1f ",
		    x_position(chart, ((double)i + 0.5) * chart->step),
		    y_position(chart, series->values[i]));
	}
	fprintf(file, "\"><title>%s</title></polyline>\n", series->name);
}

static void
write_legend(FILE *file, const struct svg_chart *chart)
{
	for (size_t i = 0; i < chart->n_series; i++) {
		const struct svg_series *series = &chart->series[i];
		double y = PLOT_TOP + 10 + LEGEND_LINE_HEIGHT * (double)i;

		fprintf(file,
		    "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
		    "y2=\"%.1f\" stroke=\"%s\" stroke-width=\"2\" "
		    "stroke-dasharray=\"%s\"/>\n",
		    LEGEND_X, y, LEGEND_X + 30, y, series->colour,
		    dash_pattern(series));
		write_text(
		    file, LEGEND_X + 38, y + 4, 13, "start", series->name);
	}
}

static void
write_chart(FILE *file, const struct svg_chart *chart)
{
	fprintf(file,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	    "height=\"%d\" viewBox=\"0 0 %d %d\" "
	    "font-family=\"sans-serif\">\n"
	    "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>\n",
	    WIDTH, HEIGHT, WIDTH, HEIGHT, WIDTH, HEIGHT);
	write_text(file, PLOT_LEFT, 28, 18, "start", chart->title);
	write_text(file, PLOT_LEFT, 50, 12, "start", chart->subtitle);
	write_events(file, chart);
	write_axes(file, chart);
	for (size_t i = 0; i < chart->n_series; i++)
		write_series(file, chart, &chart->series[i]);
	write_legend(file, chart);
	fprintf(file, "</svg>\n");
}

bool
svg_write(const struct svg_chart *chart, const char *path)
{
	FILE *file = fopen(path, "w");
	bool failed;

	if (file == NULL)
		return false;
	write_chart(file, chart);
	failed = ferror(file) != 0;
	return fclose(file) == 0 && !failed;
}
