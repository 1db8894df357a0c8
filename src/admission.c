/**
 * @file
 * Admission queues of one service and the choice of the next waiter.
 */
#include <math.h>

#include "src/private.h"

/*
 * Time constant of the decay of slot usage, ms. A longer one lets a rank that
 * was idle take all slots for longer when it returns; with a shorter one a
 * single long request counts as the whole share.
 */
#define USAGE_DECAY_TIME 500.0
/* Weight of a sample in the moving mean of the slot time. */
#define MEAN_WEIGHT 0.05
/* Minimum fraction of the slots that a prediction assumes for a rank. */
#define MIN_PREDICTED_FRACTION 0.01

/*
 * Fraction of busy slots below which shares are ignored. With slots to spare
 * every rank is below its share, and the least urgent rank, which uses least,
 * would go before urgent work.
 */
#define MIN_BUSY_FRACTION 0.8

/* Margin of a prediction over the mean wait, in standard deviations. */
#define WAIT_MARGIN_DEVIATIONS 2.0

/* A waiter with less time left than this is skipped, in mean slot times. */
#define MIN_SLOT_TIMES_LEFT 1.5

struct rank_queue {
	GPtrArray *heap; /* struct wv_waiter, earliest deadline first */
	GPtrArray *late; /* skipped waiters that can hardly finish in time */
	wv_msec latest; /* upper bound of the deadlines in heap */
	double share; /* guaranteed fraction of the slot time */
	double used; /* decayed slot time, ms */
	wv_msec used_at; /* when used was last decayed */
};

struct wv_admission {
	struct rank_queue ranks[WV_RANK_COUNT];
	uint64_t next_sequence;
	double mean_slot_time; /* moving mean, ms; 0 if none is recorded */
	uint32_t total_slots; /* as of the last pop; 0 if none */
};

struct wv_admission *
wv_admission_create(void)
{
	struct wv_admission *admission = g_new0(struct wv_admission, 1);

	for (int i = 0; i < WV_RANK_COUNT; i++) {
		admission->ranks[i].heap = g_ptr_array_new();
		admission->ranks[i].late = g_ptr_array_new();
	}
	return admission;
}

void
wv_admission_destroy(struct wv_admission *admission)
{
	if (admission == NULL)
		return;
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		g_ptr_array_free(admission->ranks[i].heap, TRUE);
		g_ptr_array_free(admission->ranks[i].late, TRUE);
	}
	g_free(admission);
}

void
wv_admission_set_shares(
    struct wv_admission *admission, const double shares[WV_RANK_COUNT])
{
	for (int i = 0; i < WV_RANK_COUNT; i++)
		admission->ranks[i].share = shares[i];
}

static bool
is_before(const struct wv_waiter *a, const struct wv_waiter *b)
{
	if (a->deadline != b->deadline)
		return a->deadline < b->deadline;
	return a->sequence < b->sequence;
}

static void
set_position(GPtrArray *heap, size_t position, struct wv_waiter *waiter)
{
	heap->pdata[position] = waiter;
	waiter->position = position;
}

static void
sift_up(GPtrArray *heap, struct wv_waiter *waiter)
{
	size_t at = waiter->position;

	while (at > 0) {
		struct wv_waiter *parent = heap->pdata[(at - 1) / 2];

		if (!is_before(waiter, parent))
			break;
		set_position(heap, at, parent);
		at = (at - 1) / 2;
	}
	set_position(heap, at, waiter);
}

static void
sift_down(GPtrArray *heap, struct wv_waiter *waiter)
{
	size_t at = waiter->position;

	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= heap->len)
			break;
		if (child + 1 < heap->len &&
		    is_before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!is_before(heap->pdata[child], waiter))
			break;
		set_position(heap, at, heap->pdata[child]);
		at = child;
	}
	set_position(heap, at, waiter);
}

static void
insert(GPtrArray *heap, struct wv_waiter *waiter)
{
	waiter->position = heap->len;
	g_ptr_array_add(heap, waiter);
	sift_up(heap, waiter);
}

static void delete (GPtrArray *heap, struct wv_waiter *waiter)
{
	size_t position = waiter->position;
	struct wv_waiter *last = heap->pdata[heap->len - 1];

	g_ptr_array_set_size(heap, (gint)heap->len - 1);
	if (last == waiter)
		return;
	set_position(heap, position, last);
	sift_up(heap, last);
	sift_down(heap, last);
}

void
wv_admission_push(struct wv_admission *admission, struct wv_waiter *waiter)
{
	struct rank_queue *queue = &admission->ranks[waiter->rank];

	if (queue->heap->len == 0 || waiter->deadline > queue->latest)
		queue->latest = waiter->deadline;
	waiter->sequence = admission->next_sequence++;
	waiter->queued = true;
	waiter->late = false;
	insert(queue->heap, waiter);
}

void
wv_admission_remove(struct wv_admission *admission, struct wv_waiter *waiter)
{
	struct rank_queue *queue = &admission->ranks[waiter->rank];

	if (!waiter->queued)
		return;
	waiter->queued = false;
	delete (waiter->late ? queue->late : queue->heap, waiter);
}

/*
 * Moves waiters that have less time left than a request takes to the late heap.
 * Otherwise, in an overload, serving the earliest deadline first would spend
 * every slot on requests that narrowly miss their deadline.
 */
static void
skip_late_waiters(struct wv_admission *admission, wv_msec now)
{
	wv_msec limit = now + MIN_SLOT_TIMES_LEFT * admission->mean_slot_time;

	for (int i = 0; i < WV_RANK_COUNT; i++) {
		struct rank_queue *queue = &admission->ranks[i];

		while (queue->heap->len > 0) {
			struct wv_waiter *waiter = queue->heap->pdata[0];

			if (waiter->deadline >= limit)
				break;
			delete (queue->heap, waiter);
			waiter->late = true;
			insert(queue->late, waiter);
		}
	}
}

static void
decay(struct rank_queue *queue, wv_msec now)
{
	if (now <= queue->used_at)
		return;
	queue->used *= exp((queue->used_at - now) / USAGE_DECAY_TIME);
	queue->used_at = now;
}

/* Returns the fraction of the slots that a rank has used recently. */
static double
used_fraction(struct rank_queue *queue, wv_msec now, uint32_t total_slots)
{
	decay(queue, now);
	return queue->used / (USAGE_DECAY_TIME * MAX(total_slots, 1));
}

/*
 * Returns the waiting rank that is furthest below its share, or NULL if there
 * is none or there are slots to spare.
 */
static struct rank_queue *
find_below_share(
    struct wv_admission *admission, wv_msec now, uint32_t total_slots)
{
	struct rank_queue *found = NULL;
	double min_ratio = 1.0, total_fraction = 0;

	for (int i = 0; i < WV_RANK_COUNT; i++) {
		struct rank_queue *queue = &admission->ranks[i];
		double fraction = used_fraction(queue, now, total_slots);

		total_fraction += fraction;
		if (queue->heap->len == 0 || queue->share <= 0)
			continue;
		if (fraction / queue->share < min_ratio) {
			min_ratio = fraction / queue->share;
			found = queue;
		}
	}
	return total_fraction < MIN_BUSY_FRACTION ? NULL : found;
}

static struct wv_waiter *
find_most_urgent(struct wv_admission *admission)
{
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		if (admission->ranks[i].heap->len > 0)
			return admission->ranks[i].heap->pdata[0];
	}
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		if (admission->ranks[i].late->len > 0)
			return admission->ranks[i].late->pdata[0];
	}
	return NULL;
}

/*
 * The mean slot time is charged when a waiter gets a slot, and the difference
 * to the real time when that is recorded. Otherwise a rank could take all slots
 * before its first request ends.
 */
struct wv_waiter *
wv_admission_pop(struct wv_admission *admission, wv_msec now,
    uint32_t free_slots, uint32_t total_slots)
{
	struct rank_queue *queue;
	struct wv_waiter *waiter;

	if (free_slots == 0)
		return NULL;
	admission->total_slots = total_slots;
	skip_late_waiters(admission, now);
	queue = find_below_share(admission, now, total_slots);
	waiter =
	    queue != NULL ? queue->heap->pdata[0] : find_most_urgent(admission);
	if (waiter == NULL)
		return NULL;
	queue = &admission->ranks[waiter->rank];
	wv_admission_remove(admission, waiter);
	decay(queue, now);
	queue->used += admission->mean_slot_time;
	return waiter;
}

void
wv_admission_record_usage(struct wv_admission *admission, wv_msec now,
    enum wv_rank rank, wv_msec slot_time)
{
	struct rank_queue *queue = &admission->ranks[rank];
	double *mean = &admission->mean_slot_time;

	decay(queue, now);
	queue->used = MAX(queue->used + slot_time - *mean, 0);
	if (*mean > 0)
		*mean += MEAN_WEIGHT * (slot_time - *mean);
	else
		*mean = slot_time;
}

size_t
wv_admission_count_waiting(
    const struct wv_admission *admission, enum wv_rank rank)
{
	return (size_t)admission->ranks[rank].heap->len +
	    admission->ranks[rank].late->len;
}

/* Counts the waiters of the rank with the same or an earlier deadline. */
static size_t
count_before(const struct rank_queue *queue, wv_msec deadline)
{
	size_t n = 0;

	if (deadline >= queue->latest)
		return queue->heap->len;
	for (guint i = 0; i < queue->heap->len; i++) {
		const struct wv_waiter *waiter = queue->heap->pdata[i];

		if (waiter->deadline <= deadline)
			n++;
	}
	return n;
}

/* Returns the fraction of the slots that the other ranks leave to a rank. */
static double
available_fraction(const struct wv_admission *admission, enum wv_rank rank)
{
	double fraction = 1.0;

	for (int i = 0; i < WV_RANK_COUNT; i++) {
		const struct rank_queue *queue = &admission->ranks[i];
		double used = queue->used /
		    (USAGE_DECAY_TIME * MAX(admission->total_slots, 1));

		if (i < (int)rank)
			fraction -= used;
		else if (i > (int)rank && queue->heap->len > 0)
			fraction -= MIN(used, queue->share);
	}
	return MAX(fraction, MIN_PREDICTED_FRACTION);
}

/*
 * Returns an upper estimate, in mean service times, of the time that n requests
 * take. Service times vary, and a query waits for the slowest of its services:
 * with n itself half of the admitted queries miss their deadline.
 */
static double
upper_estimate(size_t n)
{
	return (double)n + WAIT_MARGIN_DEVIATIONS * sqrt((double)n);
}

wv_msec
wv_admission_expected_wait(const struct wv_admission *admission,
    enum wv_rank rank, wv_msec deadline, wv_msec service_time, uint32_t slots)
{
	const struct rank_queue *queue = &admission->ranks[rank];
	size_t n_before = count_before(queue, deadline);
	size_t n_higher = 0;
	double time_per_request = service_time / MAX(slots, 1);
	wv_msec by_order, by_share;

	for (int i = 0; i < (int)rank; i++)
		n_higher += admission->ranks[i].heap->len;
	if (n_before + n_higher == 0)
		return 0;
	by_order = upper_estimate(n_before + n_higher + 1) * time_per_request /
	    available_fraction(admission, rank);
	if (queue->share <= 0)
		return by_order;
	by_share =
	    upper_estimate(n_before + 1) * time_per_request / queue->share;
	return MIN(by_order, by_share);
}
