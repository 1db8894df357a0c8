/**
 * @file
 * Breadth-first exploration of all states that a model can reach. A state is a
 * struct without pointers whose padding is always set: two states are the same
 * if their bytes are equal.
 */
#ifndef WISTERIAVANE_TEST_EXPLORE_H
#define WISTERIAVANE_TEST_EXPLORE_H

#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/** The states that were found, in the order of discovery. */
struct explorer {
	size_t state_size; /* bytes */
	size_t max_states;
	GByteArray *states; /* n_states of state_size bytes each */
	uint32_t *slots; /* open-addressing hash table of index + 1 */
	size_t n_slots; /* a power of two */
	size_t n_states;
	size_t next; /* index of the first state that was not expanded */
	bool truncated; /* states were left out since max_states was reached */
};

/** Creates an explorer without states. */
static inline struct explorer *
explorer_create(size_t state_size, size_t max_states)
{
	struct explorer *explorer = g_new0(struct explorer, 1);

	explorer->state_size = state_size;
	explorer->max_states = max_states;
	explorer->states = g_byte_array_new();
	explorer->n_slots = 1024;
	while (explorer->n_slots < 2 * max_states)
		explorer->n_slots *= 2;
	explorer->slots = g_new0(uint32_t, explorer->n_slots);
	return explorer;
}

/** Releases an explorer. NULL is not allowed. */
static inline void
explorer_destroy(struct explorer *explorer)
{
	g_byte_array_free(explorer->states, TRUE);
	g_free(explorer->slots);
	g_free(explorer);
}

/** Adds a copy of a state unless it is known. */
static inline void
explorer_add(struct explorer *explorer, const void *state)
{
	size_t mask = explorer->n_slots - 1;
	size_t slot = XXH3_64bits(state, explorer->state_size) & mask;
	const guint8 *known;

	while (explorer->slots[slot] != 0) {
		known = explorer->states->data +
		    (size_t)(explorer->slots[slot] - 1) * explorer->state_size;
		if (memcmp(known, state, explorer->state_size) == 0)
			return;
		slot = (slot + 1) & mask;
	}
	if (explorer->n_states == explorer->max_states) {
		explorer->truncated = true;
		return;
	}
	g_byte_array_append(
	    explorer->states, state, (guint)explorer->state_size);
	explorer->slots[slot] = (uint32_t)++explorer->n_states;
}

/** Copies the next state to expand to state; returns false if there is none. */
static inline bool
explorer_next(struct explorer *explorer, void *state)
{
	if (explorer->next == explorer->n_states)
		return false;
	memcpy(state,
	    explorer->states->data + explorer->next * explorer->state_size,
	    explorer->state_size);
	explorer->next++;
	return true;
}

#endif
