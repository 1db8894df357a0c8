/**
 * @file
 * HTML report of a soak: latency and coverage over time, with the faults
 * marked.
 */
#include <math.h>

#include "soak/report.h"

/** Size of a plot, and its margin for the axis labels, pixels. */
#define WIDTH 900.0
#define HEIGHT 180.0
#define MARGIN 40.0

/* Returns the time of the last sample, at least 1000 ms. */
static double
last_sample_time(const struct callers_outcome *outcome)
{
	double last = 1000;

	for (guint i = 0; i < outcome->samples->len; i++)
		last = fmax(last,
		    g_array_index(outcome->samples, struct callers_sample, i)
			.at);
	return last;
}

static const char *
status_color(unsigned status)
{
	switch (status) {
	case 200:
		return "#2a7";
	case 503:
		return "#e90";
	case 0:
		return "#777";
	default:
		return "#c22";
	}
}

/* Draws a line at the time of each fault, with its text as a tooltip. */
static void
append_fault_lines(GString *out, const struct soak *soak, double last)
{
	char **lines = g_strsplit(soak_faults(soak), "\n", 0);

	for (unsigned i = 0; lines[i] != NULL; i++) {
		double at = g_ascii_strtod(lines[i], NULL);
		double x = MARGIN + at / last * WIDTH;

		if (lines[i][0] != '\0')
			g_string_append_printf(out,
			    "<line x1='%.1f' x2='%.1f' y1='0' y2='%.0f' "
			    "stroke='#ccd'><title>%s</title></line>\n",
			    x, x, HEIGHT, lines[i]);
	}
	g_strfreev(lines);
}

static void
append_plot(GString *out, const struct soak *soak,
    const struct callers_outcome *outcome, const char *title, bool coverage)
{
	double last = last_sample_time(outcome);

	g_string_append_printf(out,
	    "<h2>%s</h2><svg width='%.0f' height='%.0f'>\n"
	    "<text x='0' y='12'>%s</text><text x='0' y='%.0f'>0</text>\n",
	    title, WIDTH + 2 * MARGIN, HEIGHT + 4, coverage ? "1" : "1.6 s",
	    HEIGHT);
	append_fault_lines(out, soak, last);
	for (guint i = 0; i < outcome->samples->len; i++) {
		const struct callers_sample *sample =
		    &g_array_index(outcome->samples, struct callers_sample, i);
		double y = coverage ? sample->coverage
				    : fmin(sample->elapsed / 1600, 1);

		g_string_append_printf(out,
		    "<circle cx='%.1f' cy='%.1f' r='1.5' fill='%s'/>\n",
		    MARGIN + sample->at / last * WIDTH,
		    HEIGHT - y * (HEIGHT - 4), status_color(sample->status));
	}
	g_string_append(out, "</svg>\n");
}

void
report_write(const struct soak *soak, const struct callers_outcome *outcome,
    const char *file)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
	    "<!doctype html><meta charset='utf-8'><title>soak %u</title>"
	    "<h1>Soak, seed %u</h1><p>%u requests: %u served, %u refused as "
	    "not run, %u failed. %u violations.</p><pre>%s</pre>",
	    soak_seed(soak), soak_seed(soak), outcome->requests,
	    outcome->served, outcome->refused, outcome->failed,
	    soak_count_violations(soak), soak_violations(soak));
	append_plot(out, soak, outcome,
	    "Latency (green: served, orange: refused, "
	    "red: failed, grey: no answer)",
	    false);
	append_plot(out, soak, outcome, "Coverage", true);
	g_string_append_printf(
	    out, "<h2>Faults</h2><pre>%s</pre>", soak_faults(soak));
	g_file_set_contents(file, out->str, (gssize)out->len, NULL);
	g_string_free(out, TRUE);
}
