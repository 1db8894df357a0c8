/**
 * @file
 * Counters and latency histograms.
 */
#include "entry/metrics.h"

void
metrics_init(struct metrics *metrics)
{
#define METRICS_NAME(field) metrics->field.name = #field;
	METRICS_LIST(METRICS_NAME)
#undef METRICS_NAME
}

void
metrics_add_latency(struct metrics_histogram *histogram, double value)
{
	double bound = 1;
	size_t i = 0;

	while (i < METRICS_BUCKETS - 1 && value > bound) {
		bound *= 2;
		i++;
	}
	histogram->buckets[i]++;
	histogram->count++;
	histogram->sum += value;
}

static void
append_counter(GString *text, const struct wv_counter *counter)
{
	g_string_append_printf(text,
	    "# TYPE wisteriavane_%s_total counter\n"
	    "wisteriavane_%s_total %" G_GUINT64_FORMAT "\n",
	    counter->name, counter->name, wv_counter_read(counter));
}

static void
append_histogram(
    GString *text, const char *name, const struct metrics_histogram *histogram)
{
	uint64_t cumulative = 0;
	double bound = 1;

	g_string_append_printf(
	    text, "# TYPE wisteriavane_%s histogram\n", name);
	for (size_t i = 0; i < METRICS_BUCKETS - 1; i++) {
		cumulative += histogram->buckets[i];
		g_string_append_printf(text,
		    "wisteriavane_%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
		    name, bound, cumulative);
		bound *= 2;
	}
	g_string_append_printf(text,
	    "wisteriavane_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
	    "wisteriavane_%s_sum %.3f\n"
	    "wisteriavane_%s_count %" G_GUINT64_FORMAT "\n",
	    name, histogram->count, name, histogram->sum, name,
	    histogram->count);
}

GString *
metrics_text(const struct metrics *metrics, uint64_t left_out)
{
	struct wv_counter lines = {"log_lines_left_out", left_out};
	GString *text = g_string_new(NULL);

#define METRICS_APPEND(field) append_counter(text, &metrics->field);
	METRICS_LIST(METRICS_APPEND)
#undef METRICS_APPEND
	append_counter(text, &lines);
	append_histogram(text, "request_ms", &metrics->request_ms);
	append_histogram(text, "attempt_ms", &metrics->attempt_ms);
	return text;
}
