/**
 * @file
 * Recorded traces: reading, replay in virtual time, comparison with the
 * stated outcomes. docs/traces.md describes the format.
 */
#ifndef BENCH_DRIVER_TRACE_H
#define BENCH_DRIVER_TRACE_H

#include <json-glib/json-glib.h>

#include "bench/driver/vm.h"

/** One shard request that was sent during a replay. */
struct trace_send {
	uint64_t request;
	struct sim_vm *vm;
	size_t service;
	size_t searcher;
	struct wv_attempt_id attempt;
	uint64_t index_version;
	uint64_t map;
};

/** One replay. */
struct trace {
	GPtrArray *faults; /**< "PATH: fault" or differences; owned strings */
	JsonNode *root; /**< owned */
	struct sim sim;
	struct sim_shape shape;
	struct sim_back_end back_end;
	struct sim_fleet cluster;
	GHashTable *names; /**< owned name -> struct sim_record */
	GArray *sends; /**< struct trace_send */
};

/** Types of fields. */
enum trace_type {
	TRACE_NUMBER,
	TRACE_STRING,
	TRACE_BOOLEAN,
	TRACE_OBJECT,
	TRACE_ARRAY,
	TRACE_CONDITION, /**< a value, or {"at_least", "at_most"} */
	TRACE_VM,
	TRACE_SEARCHER, /**< an id, or "*" */
	TRACE_RANK
};

/** One field of an object. */
struct trace_field {
	const char *name;
	enum trace_type type;
	bool required;
};

/** One kind of event; fields end with an item without a name. */
struct trace_event_kind {
	const char *name;
	const struct trace_field *fields;
	void (*run)(struct trace *trace, JsonObject *event);
};

/** Returns a kind of event, or NULL. */
const struct trace_event_kind *trace_event_find(const char *name);

/** Records a fault of the trace or a difference. */
void trace_fault(struct trace *trace, const char *path, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Checks names and types of an object's fields; returns whether all fit. */
bool trace_check_object(struct trace *trace, JsonNode *node, const char *path,
    const struct trace_field *fields);

/** Returns a number of an object, or a default. */
double trace_number(JsonObject *object, const char *name, double absent);

/** Returns a number as a whole one from 0 to 10^15, or a default. */
uint64_t trace_whole(JsonObject *object, const char *name, uint64_t absent);

/** Returns a string of an object, or a default. */
const char *trace_string(
    JsonObject *object, const char *name, const char *absent);

/** Returns a boolean of an object; false if absent. */
bool trace_boolean(JsonObject *object, const char *name);

/** Returns a VM's present process by its name, such as "vm1"; or NULL. */
struct sim_vm *trace_vm(struct trace *trace, const char *name);

/**
 * Returns the process that an event names: a VM, "holder" (of the lane now) or
 * "other" (a VM that runs and does not hold it). Never NULL for valid names.
 */
struct sim_vm *trace_pick_vm(struct trace *trace, const char *name);

/** Checks the stated outcomes before the run. */
void trace_check_expect(struct trace *trace, JsonNode *node);

/** Schedules comparisons that belong to a moment. */
void trace_schedule_expect(struct trace *trace, JsonObject *expect);

/** Compares the outcomes at the end of the run. */
void trace_compare(struct trace *trace, JsonObject *expect);

/**
 * Replays a trace.
 *
 * @param json    the text
 * @param faults  receives one owned string for each fault of the trace or
 *                difference between stated and seen outcomes
 * @return WV_OK, WV_TRACE_INVALID, or WV_INTERNAL for differences
 */
enum wv_code trace_replay(struct wv_string json, GPtrArray *faults);

#endif
