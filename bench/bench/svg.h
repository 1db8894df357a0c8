/**
 * @file
 * Line charts over time as SVG files.
 */
#ifndef BENCH_BENCH_SVG_H
#define BENCH_BENCH_SVG_H

#include <stdbool.h>
#include <stddef.h>

/** One line of a chart; points with the value NAN are skipped. */
struct svg_series {
	const char *name; /**< in the legend */
	const char *colour; /**< SVG colour */
	bool dashed;
	const double *values; /**< borrowed */
	size_t n;
};

/**
 * An event, drawn as a vertical line, or as a shaded area if it has a duration.
 */
struct svg_event {
	const char *name;
	double from; /**< seconds */
	double until; /**< seconds; equal to from for a single moment */
};

/**
 * A chart. It borrows all arrays and texts. Texts are written without escaping,
 * so they must not contain XML markup.
 */
struct svg_chart {
	const char *title;
	const char *subtitle;
	const char *y_label;
	const double *y_ticks; /**< ascending; the axis ends at the outer two */
	size_t n_y_ticks;
	bool log_scale; /**< of the y axis; all ticks must be above 0 */
	double step; /**< seconds between two values of a series */
	double duration; /**< length of the x axis, seconds */
	const struct svg_event *events;
	size_t n_events;
	const struct svg_series *series;
	size_t n_series;
};

/** Writes a chart to a file; returns false with errno set on failure. */
bool svg_write(const struct svg_chart *chart, const char *path);

#endif
