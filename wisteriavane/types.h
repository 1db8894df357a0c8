/**
 * @file
 * Basic types: times, counted strings, ranks and identifiers.
 */
#ifndef WISTERIAVANE_TYPES_H
#define WISTERIAVANE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A point in time or a duration, in milliseconds; fractions are allowed. */
typedef double wv_msec;

/** Greater than any time that occurs; stands for "never". */
#define WV_MSEC_NEVER 1e300

/**
 * A string with an explicit length.
 *
 * Each use documents whether the string owns its bytes. Owned bytes are
 * followed by a NUL that is not counted, so that they can be passed to C
 * functions.
 */
struct wv_string {
	char *data;
	size_t length;
};

/** Ranks of requests, the most urgent first. */
enum wv_rank {
	WV_RANK_URGENT,
	WV_RANK_STANDARD,
	WV_RANK_BACKGROUND,
	WV_RANK_COUNT
};

/**
 * Identifies one process among those of all VMs. The incarnation increases
 * with each start of the VM of this name.
 */
struct wv_vm_id {
	struct wv_string name;
	uint64_t incarnation;
};

/**
 * Identifies one attempt to send a request upstream. It is unique across all
 * VMs: the incarnation differs between processes of a VM, and the counter
 * between attempts of a process.
 */
struct wv_attempt_id {
	uint64_t vm_hash; /**< xxHash of the name */
	uint64_t incarnation; /**< incarnation of the process */
	uint64_t counter; /**< counts up within the process */
};

/** Wraps a NUL-terminated C string without copying it. */
struct wv_string wv_string_borrow(const char *text);

/** Returns an owned copy; release it with wv_string_clear(). */
struct wv_string wv_string_copy(struct wv_string string);

/** Frees owned bytes and makes the string empty. */
void wv_string_clear(struct wv_string *string);

/** Returns whether both strings have the same length and bytes. */
bool wv_string_equal(struct wv_string a, struct wv_string b);

/** Returns a 64-bit hash of the bytes. */
uint64_t wv_string_hash(struct wv_string string);

/** Returns whether both identifiers are of the same attempt. */
bool wv_attempt_id_equal(struct wv_attempt_id a, struct wv_attempt_id b);

/** Returns the name of a rank, such as "urgent", or "unknown". */
const char *wv_rank_name(enum wv_rank rank);

/** Finds a rank by its name; returns false if there is none. */
bool wv_rank_parse(struct wv_string name, enum wv_rank *rank);

#endif
