/**
 * @file
 * The daemon's counters.
 */
#include "daemon/stats.h"

void
stats_init(struct stats *stats)
{
#define STATS_INIT(field)           \
	stats->field.name = #field; \
	atomic_init(&stats->field.value, 0);
	STATS_LIST(STATS_INIT)
#undef STATS_INIT
}

JsonObject *
stats_dump(const struct stats *stats)
{
	JsonObject *object = json_object_new();

#define STATS_DUMP(field)                                     \
	json_object_set_int_member(object, stats->field.name, \
	    (gint64)wv_counter_read(&stats->field));
	STATS_LIST(STATS_DUMP)
#undef STATS_DUMP
	return object;
}
