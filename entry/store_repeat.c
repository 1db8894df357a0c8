/**
 * @file
 * Repeats a call of the store that gets no answer, on further connections. The
 * earlier calls go on beside it: a slow store still answers one of them.
 */
#include <math.h>

#include "entry/socket.h"
#include "entry/store_sync_private.h"

/**
 * Shortest delay before a call is repeated, ms: 20 times the usual 4 ms of an
 * answer. A slow store takes up to 250 ms, which costs two more calls once, as
 * the delay then follows from the answer's time.
 */
#define MIN_REPEAT_DELAY 80.0
/** Delay in relation to the time of the latest answer. */
#define REPEAT_ANSWER_TIMES 2.0
/** Growth of the delay: a call is repeated after 80, 200, 380 and 650 ms. */
#define REPEAT_GROWTH 1.5
/**
 * Repetitions of all calls until one is answered: in a long outage they add
 * nothing to the calls that each VM makes anyway.
 */
#define MAX_UNANSWERED_REPEATS 8

/* Whether the call is a list or a write, whose answer is due at once. */
static bool
is_repeatable(const struct follower *follower)
{
	return !follower->from_peer && follower->phase != PHASE_FOLLOW &&
	    !store_is_cleanup(follower);
}

/* Whether a part of an answer has been received. */
static bool
is_being_answered(const struct follower *follower)
{
	bool receiving = client_is_receiving(follower->client);

	for (unsigned i = 0; i < follower->n_repeats; i++)
		receiving |= client_is_receiving(follower->repeats[i].client);
	return receiving;
}

static void
set_timer(struct follower *follower)
{
	struct timeval time = socket_timeval(follower->repeat_delay);

	event_add(follower->repeat_timer, &time);
}

static void
repeat_call(struct follower *follower)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	struct store_repeat *repeat = &follower->repeats[follower->n_repeats];
	GString *request = store_compose_request(follower);

	repeat->client = store_connect(follower);
	repeat->sent_at = store_now(follower->sync);
	client_send(repeat->client,
	    (struct wv_string){request->str, request->len}, false);
	g_string_free(request, TRUE);
	follower->n_repeats++;
	follower->unanswered_repeats++;
	wv_counter_add(&deps->metrics->store_calls, 1);
	wv_counter_add(&deps->metrics->store_calls_repeated, 1);
	log_line(deps->log, LOG_CHANGE, "store_call_repeated",
	    "\"kind\":\"%s\",\"repeats\":%u,\"elapsed_ms\":%.0f,"
	    "\"usual_ms\":%.0f",
	    store_kind_name(follower->kind), follower->n_repeats,
	    repeat->sent_at - follower->sent_at, follower->sync->answer_time);
}

static void
on_repeat(evutil_socket_t fd, short what, void *data)
{
	struct follower *follower = data;

	(void)fd;
	(void)what;
	if (!follower->calling || is_being_answered(follower) ||
	    follower->n_repeats == STORE_MAX_REPEATS ||
	    follower->unanswered_repeats >= MAX_UNANSWERED_REPEATS)
		return;
	repeat_call(follower);
	follower->repeat_delay *= REPEAT_GROWTH;
	set_timer(follower);
}

void
store_repeat_init(struct follower *follower)
{
	follower->repeat_timer =
	    event_new(follower->sync->deps.base, -1, 0, on_repeat, follower);
}

void
store_repeat_begin(struct follower *follower)
{
	follower->sent_at = store_now(follower->sync);
	if (!is_repeatable(follower))
		return;
	follower->repeat_delay = fmax(MIN_REPEAT_DELAY,
	    REPEAT_ANSWER_TIMES * follower->sync->answer_time);
	set_timer(follower);
}

void
store_repeat_end(struct follower *follower)
{
	while (follower->n_repeats > 0)
		client_destroy(follower->repeats[--follower->n_repeats].client);
	event_del(follower->repeat_timer);
}

/* Makes a repetition the call itself; the former one takes its place. */
static void
promote(struct follower *follower, unsigned i)
{
	struct store_repeat former = {follower->client, follower->sent_at};

	follower->client = follower->repeats[i].client;
	follower->sent_at = follower->repeats[i].sent_at;
	follower->repeats[i] = former;
}

void
store_repeat_choose(struct follower *follower, const struct client *client)
{
	for (unsigned i = 0; i < follower->n_repeats; i++) {
		if (follower->repeats[i].client == client)
			promote(follower, i);
	}
	if (is_repeatable(follower))
		follower->sync->answer_time =
		    store_now(follower->sync) - follower->sent_at;
	follower->unanswered_repeats = 0;
	store_repeat_end(follower);
}

bool
store_repeat_drop(struct follower *follower, const struct client *client)
{
	if (follower->n_repeats == 0)
		return false;
	if (follower->client == client)
		promote(follower, follower->n_repeats - 1);
	for (unsigned i = 0; i < follower->n_repeats; i++) {
		if (follower->repeats[i].client != client)
			continue;
		client_destroy(follower->repeats[i].client);
		follower->repeats[i] = follower->repeats[--follower->n_repeats];
		return true;
	}
	return false;
}

void
store_repeat_clear(struct follower *follower)
{
	store_repeat_end(follower);
	event_free(follower->repeat_timer);
}
