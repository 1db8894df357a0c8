/**
 * @file
 * Top-k merge with a binary heap whose root is the smallest record kept.
 */
#include <stdlib.h>
#include <string.h>

#include "src/private.h"
#include "wisteriavane/merge.h"

struct heap {
	const char **records; /* owned array of borrowed records */
	size_t n;
	size_t capacity;
};

static bool
less(const char *a, const char *b)
{
	return memcmp(a, b, WV_RECORD_SIZE) < 0;
}

static void
swap(struct heap *heap, size_t i, size_t j)
{
	const char *record = heap->records[i];

	heap->records[i] = heap->records[j];
	heap->records[j] = record;
}

static void
move_up(struct heap *heap, size_t i)
{
	while (i > 0 && less(heap->records[i], heap->records[(i - 1) / 2])) {
		swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void
move_down(struct heap *heap, size_t i)
{
	for (;;) {
		size_t smallest = i;

		for (size_t j = 2 * i + 1; j <= 2 * i + 2 && j < heap->n; j++) {
			if (less(heap->records[j], heap->records[smallest]))
				smallest = j;
		}
		if (smallest == i)
			return;
		swap(heap, i, smallest);
		i = smallest;
	}
}

static void
add_record(struct heap *heap, const char *record)
{
	if (heap->n < heap->capacity) {
		heap->records[heap->n] = record;
		move_up(heap, heap->n++);
	} else if (heap->capacity > 0 && less(heap->records[0], record)) {
		heap->records[0] = record;
		move_down(heap, 0);
	}
}

static int
compare_descending(const void *a, const void *b)
{
	return memcmp(
	    *(const char *const *)b, *(const char *const *)a, WV_RECORD_SIZE);
}

struct wv_string
wv_merge_top_k(const struct wv_string *parts, size_t n_parts, size_t top_k)
{
	struct heap heap = {0};
	struct wv_string merged;
	size_t total = 0;

	for (size_t i = 0; i < n_parts; i++)
		total += parts[i].length / WV_RECORD_SIZE;
	heap.capacity = MIN(total, top_k);
	heap.records = g_new(const char *, heap.capacity + 1);
	for (size_t i = 0; i < n_parts; i++) {
		for (size_t at = 0; at + WV_RECORD_SIZE <= parts[i].length;
		     at += WV_RECORD_SIZE)
			add_record(&heap, parts[i].data + at);
	}
	qsort(
	    heap.records, heap.n, sizeof(heap.records[0]), compare_descending);
	merged.length = heap.n * WV_RECORD_SIZE;
	merged.data = g_malloc(merged.length + 1);
	for (size_t i = 0; i < heap.n; i++)
		memcpy(merged.data + i * WV_RECORD_SIZE, heap.records[i],
		    WV_RECORD_SIZE);
	merged.data[merged.length] = '\0';
	g_free(heap.records);
	return merged;
}
