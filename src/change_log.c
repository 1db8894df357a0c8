/**
 * @file
 * In-memory copy of the store's objects with a log of recent changes.
 */
#include <string.h>

#include "src/private.h"
#include "wisteriavane/change_log.h"

/* Maximum age of kept changes, in ms. */
#define MAX_CHANGE_AGE_MS 20000.0
/* Maximum size of the texts of kept changes, in bytes. */
#define MAX_CHANGE_BYTES (2u << 20)

/* Changes that were added together. */
struct batch {
	uint64_t position; /* position in the store after these changes */
	wv_msec added_at;
	bool after_outage; /* the store was unreachable before them */
	size_t bytes; /* size of the texts */
	GPtrArray *list; /* referenced array of struct wv_change */
};

struct wv_change_log {
	GQueue batches; /* owned struct batch, oldest first */
	GHashTable *objects; /* owned texts by owned name */
	uint64_t position; /* current position in the store */
	uint64_t kept_after; /* all changes after this position are kept */
	uint64_t newest; /* position of the latest change, 0 if none */
	size_t bytes; /* size of the texts of all batches */
};

static void
change_destroy(gpointer data)
{
	struct wv_change *change = data;

	g_free(change->name);
	g_free(change->text);
	g_free(change);
}

GPtrArray *
wv_change_list_create(void)
{
	return g_ptr_array_new_with_free_func(change_destroy);
}

void
wv_change_list_add(
    GPtrArray *list, struct wv_string name, char *text, bool deleted)
{
	struct wv_change *change = g_new0(struct wv_change, 1);

	change->name = g_strndup(name.data, name.length);
	change->text = text;
	change->deleted = deleted;
	g_ptr_array_add(list, change);
}

static void
batch_destroy(gpointer data)
{
	struct batch *batch = data;

	g_ptr_array_unref(batch->list);
	g_free(batch);
}

struct wv_change_log *
wv_change_log_create(void)
{
	struct wv_change_log *changes = g_new0(struct wv_change_log, 1);

	g_queue_init(&changes->batches);
	changes->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return changes;
}

void
wv_change_log_destroy(struct wv_change_log *changes)
{
	wv_change_log_reset(changes, 0);
	g_hash_table_unref(changes->objects);
	g_free(changes);
}

void
wv_change_log_reset(struct wv_change_log *changes, uint64_t position)
{
	g_queue_clear_full(&changes->batches, batch_destroy);
	g_hash_table_remove_all(changes->objects);
	changes->position = position;
	changes->kept_after = position;
	changes->newest = 0;
	changes->bytes = 0;
}

void
wv_change_log_put_object(
    struct wv_change_log *changes, struct wv_string name, char *text)
{
	g_hash_table_insert(
	    changes->objects, g_strndup(name.data, name.length), text);
}

/* Discards the oldest batches until age and size are within the limits. */
static void
prune(struct wv_change_log *changes, wv_msec now)
{
	struct batch *oldest;

	while ((oldest = g_queue_peek_head(&changes->batches)) != NULL &&
	    (now - oldest->added_at > MAX_CHANGE_AGE_MS ||
		changes->bytes > MAX_CHANGE_BYTES)) {
		changes->bytes -= oldest->bytes;
		changes->kept_after = oldest->position;
		batch_destroy(g_queue_pop_head(&changes->batches));
	}
}

/* Updates the objects; returns the size of the texts of the changes. */
static size_t
apply(struct wv_change_log *changes, const GPtrArray *list)
{
	size_t bytes = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct wv_change *change = list->pdata[i];

		bytes += strlen(change->text);
		if (change->deleted)
			g_hash_table_remove(changes->objects, change->name);
		else
			g_hash_table_insert(changes->objects,
			    g_strdup(change->name), g_strdup(change->text));
	}
	return bytes;
}

bool
wv_change_log_add(struct wv_change_log *changes, wv_msec now, uint64_t position,
    GPtrArray *list, bool after_outage)
{
	struct batch *batch;

	if (position < changes->position)
		return false;
	changes->position = position;
	prune(changes, now);
	if (list->len == 0)
		return true;
	batch = g_new0(struct batch, 1);
	batch->position = position;
	batch->added_at = now;
	batch->after_outage = after_outage;
	batch->list = g_ptr_array_ref(list);
	batch->bytes = apply(changes, list);
	changes->bytes += batch->bytes;
	changes->newest = position;
	g_queue_push_tail(&changes->batches, batch);
	return true;
}

uint64_t
wv_change_log_position(const struct wv_change_log *changes)
{
	return changes->position;
}

uint64_t
wv_change_log_last_change(const struct wv_change_log *changes)
{
	return changes->newest;
}

void
wv_change_log_announce_listing(struct wv_change_log *changes)
{
	changes->newest = changes->position;
}

/*
 * Adds the last change of each object that is not in names yet, newest first,
 * and adds the objects to names.
 */
static void
add_last_changes(const struct batch *batch, GHashTable *names, GPtrArray *texts)
{
	for (guint i = batch->list->len; i > 0; i--) {
		struct wv_change *change = batch->list->pdata[i - 1];

		if (g_hash_table_add(names, change->name))
			g_ptr_array_add(texts, change->text);
	}
}

static void
reverse(GPtrArray *array)
{
	for (guint i = 0; i < array->len / 2; i++) {
		gpointer item = array->pdata[i];

		array->pdata[i] = array->pdata[array->len - 1 - i];
		array->pdata[array->len - 1 - i] = item;
	}
}

bool
wv_change_log_collect_after(const struct wv_change_log *changes,
    uint64_t position, GPtrArray *texts, bool *after_outage)
{
	GHashTable *names;

	*after_outage = false;
	if (position < changes->kept_after)
		return false;
	names = g_hash_table_new(g_str_hash, g_str_equal);
	for (GList *item = changes->batches.tail; item != NULL;
	     item = item->prev) {
		const struct batch *batch = item->data;

		if (batch->position <= position)
			break;
		*after_outage |= batch->after_outage;
		add_last_changes(batch, names, texts);
	}
	g_hash_table_unref(names);
	reverse(texts);
	return true;
}

void
wv_change_log_collect_objects(
    const struct wv_change_log *changes, GPtrArray *texts)
{
	GHashTableIter iter;
	gpointer text;

	g_hash_table_iter_init(&iter, changes->objects);
	while (g_hash_table_iter_next(&iter, NULL, &text))
		g_ptr_array_add(texts, text);
}
