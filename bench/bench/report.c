/**
 * @file
 * Prints the lines of the report, as a table or as JSON.
 */
#include <math.h>
#include <stdio.h>

#include "bench/bench/bench.h"

static void
print_number(double value)
{
	if (isnan(value))
		printf(" %10s", "-");
	else
		printf(" %10.4f", value);
}

static void
print_json_number(const char *name, double value)
{
	if (isnan(value))
		printf(", \"%s\": null", name);
	else
		printf(", \"%s\": %.4f", name, value);
}

void
report_line(struct report *report, const char *name, double value,
    const char *unit, double baseline, enum bound_kind kind, double bound)
{
	bool ok = kind == NO_BOUND ||
	    (kind == AT_MOST ? value <= bound : value >= bound);

	if (!ok)
		report->failures++;
	if (report->json) {
		printf("%s\n {\"name\": \"%s\", \"unit\": \"%s\"",
		    report->lines++ > 0 ? "," : "[", name, unit);
		print_json_number("value", value);
		print_json_number("baseline", baseline);
		print_json_number("bound", kind == NO_BOUND ? NAN : bound);
		printf(", \"result\": \"%s\"}", ok ? "ok" : "FAIL");
		return;
	}
	printf("%-44s", name);
	print_number(value);
	printf(" %-5s", unit);
	print_number(baseline);
	if (kind == NO_BOUND)
		printf(" %11s", "-");
	else
		printf(" %s%9.4f", kind == AT_MOST ? "<=" : ">=", bound);
	printf(" %s\n", ok ? "ok" : "FAIL");
}

static char *
line_name(const struct sim_shape *shape, const char *metric)
{
	return g_strdup_printf("%s.%s", shape->name, metric);
}

void
report_back_end(struct report *report, const struct sim_shape *shape,
    const char *metric, double value, const char *unit, double baseline,
    enum bound_kind kind, double bound)
{
	char *name = line_name(shape, metric);

	report_line(report, name, value, unit, baseline, kind, bound);
	g_free(name);
}
