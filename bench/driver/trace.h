/**
 * @file
 * Recorded traces: validation, replay in virtual time and comparison with the
 * expected outcomes. docs/traces.md describes the format.
 */
#ifndef BENCH_DRIVER_TRACE_H
#define BENCH_DRIVER_TRACE_H

#include <json-glib/json-glib.h>

#include "bench/driver/vm.h"

/** A shard request that was sent during a replay. */
struct trace_sent_request {
	uint64_t request; /**< id of the caller's request */
	struct sim_vm *vm; /**< sender */
	size_t service; /**< index in the topology */
	size_t searcher; /**< index in the topology */
	struct wv_attempt_id attempt;
	uint64_t index_version;
	uint64_t map;
};

/** State of one replay. */
struct trace {
	GPtrArray *messages; /**< "PATH: TEXT"; borrowed, owns its strings */
	JsonNode *root; /**< the trace; borrowed from its parser */
	struct sim sim;
	struct sim_shape shape;
	struct sim_back_end back_end;
	struct sim_cluster cluster;
	GHashTable *names; /**< owned request name -> struct sim_record */
	GArray *sends; /**< struct trace_sent_request, by time */
};

/** Types of the fields of a trace. */
enum trace_type {
	TRACE_NUMBER,
	TRACE_STRING,
	TRACE_BOOLEAN,
	TRACE_OBJECT,
	TRACE_ARRAY,
	TRACE_CONDITION, /**< a value, or {"at_least", "at_most"} */
	TRACE_VM, /**< "vm0" and so on, "holder" or "other" */
	TRACE_SEARCHER, /**< an id, or "*" for all */
	TRACE_RANK
};

/** Describes a field of an object. */
struct trace_field {
	const char *name;
	enum trace_type type;
	bool required;
};

/** A kind of event. Lists of fields end with an entry whose name is NULL. */
struct trace_event_kind {
	const char *name; /**< value of the field "do" */
	const struct trace_field *fields;
	void (*run)(struct trace *trace, JsonObject *event);
};

/** Finds a kind of event by its name; returns NULL if there is none. */
const struct trace_event_kind *trace_find_event_kind(const char *name);

/** Reports an error in the trace or a difference from an expected outcome. */
void trace_report(struct trace *trace, const char *path, const char *format,
    ...) __attribute__((format(printf, 3, 4)));

/**
 * Checks the names and types of an object's fields and reports errors.
 *
 * @return whether there were none
 */
bool trace_check_object(struct trace *trace, JsonNode *node, const char *path,
    const struct trace_field *fields);

/** Returns a field of type number, or a default if it is absent. */
double trace_get_number(
    JsonObject *object, const char *name, double default_value);

/**
 * Returns a field of type number, truncated to an integer and limited to the
 * range from 0 to 10^15, or a default if it is absent.
 */
uint64_t trace_get_integer(
    JsonObject *object, const char *name, uint64_t default_value);

/** Returns a field of type string (borrowed), or a default if it is absent. */
const char *trace_get_string(
    JsonObject *object, const char *name, const char *default_value);

/** Returns a field of type boolean, or false if it is absent. */
bool trace_get_boolean(JsonObject *object, const char *name);

/** Returns the current process of a VM by name, such as "vm1", or NULL. */
struct sim_vm *trace_find_vm(struct trace *trace, const char *name);

/**
 * Returns the process for a field of type TRACE_VM: a VM by name, "holder" (the
 * VM that holds the lane now) or "other" (a running VM that does not hold it).
 * Never NULL for a valid name.
 */
struct sim_vm *trace_resolve_vm(struct trace *trace, const char *name);

/** Validates the expected outcomes of a trace before the run. */
void trace_validate_expect(struct trace *trace, JsonNode *node);

/** Schedules the comparisons that are due at a time during the run. */
void trace_schedule_expect(struct trace *trace, JsonObject *expect);

/** Compares the outcomes at the end of the run with the expected ones. */
void trace_compare_outcomes(struct trace *trace, JsonObject *expect);

/**
 * Replays a trace.
 *
 * @param json      the text of the trace
 * @param messages  receives an allocated string for each error in the trace or
 *                  difference between expected and actual outcomes
 * @return WV_OK; WV_TRACE_INVALID if the trace has errors; WV_INTERNAL if an
 *         outcome differs
 */
enum wv_code trace_replay(struct wv_string json, GPtrArray *messages);

#endif
