/**
 * @file
 * A simulated object store: versioned objects, conditional writes and faults.
 */
#ifndef BENCH_DRIVER_STORE_H
#define BENCH_DRIVER_STORE_H

#include "bench/driver/sim.h"

/** A stored object. */
struct sim_object {
	char *value; /**< owned */
	uint64_t version; /**< store revision of the last write */
};

/** The store. */
struct sim_store {
	struct sim *sim;
	GHashTable *objects; /**< key -> struct sim_object; owned */
	uint64_t revision; /**< number of successful writes */
	bool down; /**< refuses every call */
	wv_msec delay; /**< one-way */
	/** Number of next writes that apply, but get no answer. */
	uint32_t lose_answers;
	/** Number of next writes that neither apply nor get an answer. */
	uint32_t lose_calls;
	uint64_t reads; /**< number of reads so far */
	uint64_t writes; /**< number of writes so far, also conflicting ones */
	/** Called after each change of an object; may be NULL. */
	void (*on_change)(void *data, const char *key);
	void *on_change_data;
};

/** Receives the answer to a call; value is NULL for writes and failed reads. */
typedef void (*sim_store_callback)(void *data, enum wv_store_outcome outcome,
    const char *value, uint64_t version);

/** Initializes an empty store with a one-way delay of 2 ms. */
void sim_store_init(struct sim_store *store, struct sim *sim);

/** Releases the store. No event may run afterwards. */
void sim_store_clear(struct sim_store *store);

/** Reads an object; the answer follows in virtual time. */
void sim_store_read(struct sim_store *store, const char *key,
    sim_store_callback answer, void *data);

/**
 * Writes an object if its version equals if_version (0: if it does not exist).
 * The value is copied; the answer follows in virtual time.
 */
void sim_store_write(struct sim_store *store, const char *key,
    struct wv_string value, uint64_t if_version, sim_store_callback answer,
    void *data);

/** Looks an object up without a simulated call; returns NULL if not found. */
const struct sim_object *sim_store_find(
    const struct sim_store *store, const char *key);

#endif
