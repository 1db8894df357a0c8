/**
 * @file
 * The simulated object store.
 */
#include "bench/driver/store.h"

/* Time after which the caller of an unanswered call receives a timeout, ms. */
#define CALL_TIMEOUT_MS 1000.0

/* One call to the store. */
struct call {
	struct sim_store *store;
	char *key; /* owned */
	char *value; /* owned; the value to write or the value read */
	bool write;
	uint64_t version; /* expected version, then the version found */
	enum wv_store_outcome outcome;
	sim_store_callback answer;
	void *data;
};

static void
destroy_object(gpointer data)
{
	struct sim_object *object = data;

	g_free(object->value);
	g_free(object);
}

void
sim_store_init(struct sim_store *store, struct sim *sim)
{
	memset(store, 0, sizeof(*store));
	store->sim = sim;
	store->delay = 2;
	store->objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, destroy_object);
}

void
sim_store_clear(struct sim_store *store)
{
	g_hash_table_destroy(store->objects);
}

const struct sim_object *
sim_store_find(const struct sim_store *store, const char *key)
{
	return g_hash_table_lookup(store->objects, key);
}

static void
complete_call(void *data)
{
	struct call *call = data;

	call->answer(call->data, call->outcome,
	    call->write ? NULL : call->value, call->version);
	g_free(call->key);
	g_free(call->value);
	g_free(call);
}

static void
apply_write(struct call *call)
{
	struct sim_store *store = call->store;
	struct sim_object *object =
	    g_hash_table_lookup(store->objects, call->key);
	uint64_t current = object != NULL ? object->version : 0;

	store->writes++;
	call->outcome = WV_STORE_CONFLICT;
	if (current == call->version) {
		object = g_new(struct sim_object, 1);
		object->value = g_steal_pointer(&call->value);
		object->version = ++store->revision;
		g_hash_table_replace(
		    store->objects, g_strdup(call->key), object);
		call->outcome = WV_STORE_OK;
		current = object->version;
		if (store->on_change != NULL)
			store->on_change(store->on_change_data, call->key);
	}
	call->version = current;
}

static void
apply_read(struct call *call)
{
	const struct sim_object *object =
	    sim_store_find(call->store, call->key);

	call->store->reads++;
	call->outcome = object != NULL ? WV_STORE_OK : WV_STORE_NOT_FOUND;
	if (object == NULL)
		return;
	call->value = g_strdup(object->value);
	call->version = object->version;
}

/* Returns whether to lose the answer; if so, decrements lose_answers. */
static bool
consume_lost_answer(struct sim_store *store, const struct call *call)
{
	if (!call->write || store->lose_answers == 0)
		return false;
	store->lose_answers--;
	return true;
}

static void
execute_call(void *data)
{
	struct call *call = data;
	struct sim_store *store = call->store;
	wv_msec answer_delay = store->delay;

	if (store->down) {
		call->outcome = WV_STORE_REFUSED;
	} else if (call->write && store->lose_calls > 0) {
		store->lose_calls--;
		call->outcome = WV_STORE_NO_ANSWER;
		answer_delay = CALL_TIMEOUT_MS;
	} else if (call->write) {
		apply_write(call);
	} else {
		apply_read(call);
	}
	if (call->outcome == WV_STORE_OK && consume_lost_answer(store, call)) {
		call->outcome = WV_STORE_NO_ANSWER;
		call->version = 0;
		answer_delay = CALL_TIMEOUT_MS;
	}
	sim_schedule(
	    store->sim, store->sim->now + answer_delay, complete_call, call);
}

void
sim_store_read(struct sim_store *store, const char *key,
    sim_store_callback answer, void *data)
{
	struct call *call = g_new0(struct call, 1);

	call->store = store;
	call->key = g_strdup(key);
	call->answer = answer;
	call->data = data;
	sim_schedule(
	    store->sim, store->sim->now + store->delay, execute_call, call);
}

void
sim_store_write(struct sim_store *store, const char *key,
    struct wv_string value, uint64_t if_version, sim_store_callback answer,
    void *data)
{
	struct call *call = g_new0(struct call, 1);

	call->store = store;
	call->key = g_strdup(key);
	call->value = g_strndup(value.data, value.length);
	call->write = true;
	call->version = if_version;
	call->answer = answer;
	call->data = data;
	sim_schedule(
	    store->sim, store->sim->now + store->delay, execute_call, call);
}
