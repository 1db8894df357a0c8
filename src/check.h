/**
 * @file
 * Validation of JSON documents that reports every fault with its JSON path.
 */
#ifndef WISTERIAVANE_SRC_CHECK_H
#define WISTERIAVANE_SRC_CHECK_H

#include <json-glib/json-glib.h>

#include "src/private.h"

/**
 * Maximum length of the name of a customer, back end, service, zone or VM, in
 * bytes.
 */
#define WV_MAX_NAME_LENGTH 64

/** Maximum depth of nested objects that can be entered. */
#define WV_CHECK_MAX_DEPTH 8

/** State of a validation. The path is that of the current object. */
struct wv_check {
	GPtrArray *faults; /**< borrowed array of owned strings "PATH: fault" */
	GString *path; /**< owned; NULL after wv_check_end() */
	/** Length of the path of each enclosing object, outermost first. */
	gsize lengths[WV_CHECK_MAX_DEPTH];
	size_t depth; /**< number of enclosing objects */
	/** Report duplicate members; false saves time on large documents. */
	bool report_duplicates;
};

/**
 * Parses a document, which must be a single JSON object.
 *
 * @return a node to release with json_node_unref(), or NULL after a fault
 */
JsonNode *wv_check_parse(struct wv_check *check, struct wv_string json);

/** Initializes a validation at the path "$", with duplicates reported. */
void wv_check_begin(struct wv_check *check, GPtrArray *faults);

/** Ends a validation and frees the path. */
void wv_check_end(struct wv_check *check);

/** Adds a fault of a member of the current object, or of the object if NULL. */
void wv_check_add_fault(struct wv_check *check, const char *member,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

/** Adds a fault for each member that is not in the NULL-terminated list. */
void wv_check_unknown_members(
    struct wv_check *check, JsonObject *object, const char *const *names);

/**
 * Returns a member that must be an object, and makes it the current object.
 * Returns NULL after a fault; then wv_check_leave_object() must not be called.
 */
JsonObject *wv_check_enter_object(
    struct wv_check *check, JsonObject *object, const char *name);

/** Makes the enclosing object the current one again. */
void wv_check_leave_object(struct wv_check *check);

/** Returns a member that must be a number from low to high; low on a fault. */
double wv_check_get_number(struct wv_check *check, JsonObject *object,
    const char *name, double low, double high);

/** Like wv_check_get_number(), for integers. */
uint64_t wv_check_get_integer(struct wv_check *check, JsonObject *object,
    const char *name, uint64_t low, uint64_t high);

/**
 * Returns a member that must be a name, borrowed from the object, or "" after
 * a fault.
 */
struct wv_string wv_check_get_name(
    struct wv_check *check, JsonObject *object, const char *name);

/**
 * Returns whether a text is a valid name: 1 to WV_MAX_NAME_LENGTH letters,
 * digits, '.', '_' or '-'.
 */
bool wv_is_valid_name(struct wv_string text);

#endif
