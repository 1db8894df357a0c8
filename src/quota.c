/**
 * @file
 * Token buckets of the teams at this VM.
 */
#include <math.h>

#include "src/private.h"
#include "wisteriavane/quota.h"

/**
 * Fraction of the permitted number that is divided among the VMs. Requests are
 * charged when a VM reads them, while the limit counts when they were sent or
 * when they arrive at a searcher.
 */
#define USED_FRACTION 0.95
/** Part of what is permitted beyond the limit that goes to the rate. */
#define EXTRA_RATE_PART 0.35
/** Random part of the time after which a refused caller tries again, ratio. */
#define RETRY_JITTER 0.5
/** Least random part of that time, in windows. */
#define MIN_JITTER_WINDOWS 0.05
/** Longest time after which a refused caller tries again, in windows. */
#define MAX_RETRY_WINDOWS 1.0
/**
 * The same, in windows, while this VM's capacity is below one request: its
 * fraction is not known yet, other hubs may lend, or another VM has more.
 */
#define RETRY_WINDOWS_NO_CAPACITY 0.2
/**
 * Standard deviations of a Poisson number of requests by which the demand
 * exceeds the mean: bursts that are as likely must not be refused.
 */
#define DEMAND_DEVIATIONS 2.0
/** Parts of a window, the last of which shows that callers have just come. */
#define NEWEST_PER_WINDOW 5.0
/** Mean number of recent requests below which a team has no demand. */
#define MIN_RECENT 0.05
/**
 * Tokens of a bucket at the start of a process, so that a restart of all VMs
 * does not refuse what teams send until the loans are there again, 1.25 s
 * later: one, as far as the capacity remains a whole request, and up to a part
 * of the permitted number, which is half a second of the rate. They are taken
 * from the capacity, since the previous process may have sent all that it had.
 * All VMs may start twice in a window: what accrues less in the first second
 * of each start, and whole requests that a VM's fraction does not fill, leave
 * more than the tokens of the second start (test_quota_pool.c).
 */
#define START_TOKENS 1.0
#define START_PART 0.1
/** Part of the capacity that is at most kept for starts. */
#define MAX_START_CAPACITY 0.5
/**
 * Time after which they are lost, ms: the next start has some again. By then
 * the loans are there.
 */
#define START_TIME 2000.0
/**
 * Time after a grant at which its tokens are no longer used, ms: the VM that
 * asked uses them within WV_QUOTA_GRANT_USE of its request, which came first.
 * The rest is for clocks of unequal speed.
 */
#define GRANT_TIME (WV_QUOTA_GRANT_USE * 4 / 3)
/** Least scale of an epoch; less than that is not refunded. */
#define MIN_SCALE 1e-6

struct bucket {
	gint64 hash; /* of the team's name; key in the table */
	double rate; /* tokens per ms of all VMs together */
	double capacity; /* tokens of all VMs together, with those of starts */
	bool has_started; /* has got the tokens of its start */
	double start_left; /* those that may still be beyond the capacity */
	wv_msec start_ends; /* when they are lost */
	bool has_share; /* share is set for this team */
	struct wv_quota_share share;
	double tokens;
	/*
	 * Tokens that the charged requests of this epoch get back if all of
	 * them are refunded. With the tokens they never exceed the capacity,
	 * so refunds can't raise the number of requests in a window above the
	 * limit. If they would, the refund of each becomes less by the same
	 * factor: it is scale divided by the scale when it was charged.
	 */
	double refundable;
	/*
	 * Tokens of grants that may still be used. The bucket does not accrue
	 * in their place: a request that uses one is sent after the grant.
	 */
	double held;
	double scale;
	uint64_t epoch; /* begins anew once nothing is refundable */
	wv_msec updated_at;
	double recent; /* requests, decayed with the window */
	double newest; /* the same, decayed with a part of it */
	wv_msec recent_at;
	bool listed; /* found in the newest routes */
};

/* Tokens that were granted to another VM. */
struct grant {
	gint64 hash; /* of the team's name */
	unsigned tokens;
	wv_msec until; /* they may be used */
};

struct wv_quota {
	struct wv_quota_limits limits;
	double fraction; /* of teams without a share */
	double base; /* this VM's fraction without loans; 0: not known */
	GHashTable *buckets; /* struct bucket by hash; owned */
	GQueue grants; /* struct grant by the time of their end; owned */
	uint64_t random;
	uint64_t epochs; /* begun so far, of all buckets */
};

/* Returns a random number from 0 to 1; xorshift. */
static double
random_part(struct wv_quota *quota)
{
	uint64_t x = quota->random;

	x ^= x << 13;
	x ^= x >> 7;
	x ^= x << 17;
	quota->random = x;
	return (double)(x >> 11) / (double)(UINT64_C(1) << 53);
}

struct wv_quota *
wv_quota_create(uint64_t seed)
{
	struct wv_quota *quota = g_new0(struct wv_quota, 1);

	quota->random = seed | 1;
	quota->buckets =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&quota->grants);
	return quota;
}

void
wv_quota_destroy(struct wv_quota *quota)
{
	g_hash_table_unref(quota->buckets);
	g_queue_clear_full(&quota->grants, g_free);
	g_free(quota);
}

static void
begin_epoch(struct wv_quota *quota, struct bucket *bucket)
{
	bucket->epoch = ++quota->epochs;
	bucket->refundable = 0;
	bucket->scale = 1;
}

/* Truncates the tokens, and those that can be refunded, to a capacity. */
static void
truncate_tokens(struct wv_quota *quota, struct bucket *bucket, double capacity)
{
	double left;

	bucket->tokens = fmin(bucket->tokens, capacity);
	left = capacity - bucket->tokens;
	if (bucket->refundable <= left)
		return;
	bucket->scale *= left / bucket->refundable;
	bucket->refundable = left;
	if (bucket->scale < MIN_SCALE)
		begin_epoch(quota, bucket);
}

/* Returns the tokens of a bucket at the start of a process. */
static double
start_tokens(const struct wv_quota *quota, const struct bucket *bucket)
{
	double capacity = bucket->capacity * quota->base;
	double permitted =
	    (bucket->rate * quota->limits.window + bucket->capacity) *
	    quota->base;
	double part =
	    fmin(START_PART * permitted, MAX_START_CAPACITY * capacity);

	return fmax(part, fmin(START_TOKENS, fmax(capacity - 1, 0)));
}

/* Returns the capacity of all VMs without what is kept for starts. */
static double
running_capacity(const struct wv_quota *quota, const struct bucket *bucket)
{
	return quota->base > 0
	    ? bucket->capacity - start_tokens(quota, bucket) / quota->base
	    : bucket->capacity;
}

/* Accrues tokens until a time, with a constant part. */
static void
accrue(struct wv_quota *quota, struct bucket *bucket, wv_msec until,
    struct wv_quota_part part)
{
	if (until > bucket->updated_at) {
		bucket->tokens +=
		    bucket->rate * part.rate * (until - bucket->updated_at);
		bucket->updated_at = until;
	}
	truncate_tokens(quota, bucket,
	    fmax(0,
		running_capacity(quota, bucket) * part.capacity +
		    bucket->start_left - bucket->held));
}

/* Accrues tokens until now, also if the share has ended in the meantime. */
static void
update(struct wv_quota *quota, struct bucket *bucket, wv_msec now)
{
	struct wv_quota_share *share = &bucket->share;

	if (!bucket->has_started && quota->base > 0 && bucket->capacity > 0) {
		bucket->has_started = true;
		bucket->start_left = start_tokens(quota, bucket);
		bucket->start_ends = now + START_TIME;
		bucket->tokens += bucket->start_left;
	}
	if (now >= bucket->start_ends)
		bucket->start_left = 0;
	if (now >= share->until) {
		accrue(quota, bucket, share->until, share->part);
		share->part = share->fallback;
		share->until = WV_MSEC_NEVER;
	}
	accrue(quota, bucket, now, share->part);
}

static struct wv_quota_share
base_share(const struct wv_quota *quota)
{
	struct wv_quota_part part = {quota->fraction, quota->fraction};

	return (struct wv_quota_share){part, WV_MSEC_NEVER, part};
}

static void
change_share(struct wv_quota *quota, struct bucket *bucket, wv_msec now,
    struct wv_quota_share share)
{
	update(quota, bucket, now);
	bucket->share = share;
	update(quota, bucket, now);
}

static void
update_all(struct wv_quota *quota, wv_msec now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;

		if (bucket->has_share)
			update(quota, bucket, now);
		else
			change_share(quota, bucket, now, base_share(quota));
	}
}

/*
 * Divides the permitted number per window into a rate and a capacity. Most of
 * what is permitted beyond the limit goes to the capacity, since a VM gets a
 * team's requests at random times and its bucket is small. A part goes to the
 * rate: with the capacity alone, a VM's fraction of the rate is less than its
 * callers need.
 */
static void
set_limit(const struct wv_quota *quota, struct bucket *bucket,
    const struct wv_team *team)
{
	const struct wv_quota_limits *limits = &quota->limits;
	double sustained = team->rate * limits->window / 1000;
	double limit = sustained + team->burst;
	double permitted =
	    USED_FRACTION * (limit * (1 + limits->overshoot) + limits->slack);
	double extra = permitted - limit;

	if (extra < 0)
		sustained *= permitted / limit;
	else
		sustained += extra * EXTRA_RATE_PART;
	bucket->rate = sustained / limits->window;
	bucket->capacity = permitted - sustained;
}

static struct bucket *
find_bucket(struct wv_quota *quota, const struct wv_team *team)
{
	gint64 hash = (gint64)wv_string_hash(team->name);

	return g_hash_table_lookup(quota->buckets, &hash);
}

static struct bucket *
add_bucket(struct wv_quota *quota, wv_msec now, const struct wv_team *team)
{
	struct bucket *bucket = g_new0(struct bucket, 1);

	bucket->hash = (gint64)wv_string_hash(team->name);
	bucket->share = base_share(quota);
	bucket->updated_at = now;
	bucket->recent_at = now;
	begin_epoch(quota, bucket);
	g_hash_table_insert(quota->buckets, &bucket->hash, bucket);
	return bucket;
}

static gboolean
is_unlisted(gpointer key, gpointer value, gpointer data)
{
	struct bucket *bucket = value;
	bool listed = bucket->listed;

	(void)key;
	(void)data;
	bucket->listed = false;
	return !listed;
}

void
wv_quota_set_teams(
    struct wv_quota *quota, wv_msec now, const struct wv_routes *routes)
{
	for (size_t i = 0; quota->limits.window > 0 && i < routes->n_teams;
	     i++) {
		const struct wv_team *team = &routes->teams[i];
		struct bucket *bucket = find_bucket(quota, team);

		if (!(team->rate > 0))
			continue;
		if (bucket == NULL)
			bucket = add_bucket(quota, now, team);
		update(quota, bucket, now);
		set_limit(quota, bucket, team);
		update(quota, bucket, now);
		bucket->listed = true;
	}
	g_hash_table_foreach_remove(quota->buckets, is_unlisted, NULL);
}

void
wv_quota_set_limits(
    struct wv_quota *quota, wv_msec now, const struct wv_quota_limits *limits)
{
	update_all(quota, now);
	quota->limits = *limits;
}

void
wv_quota_set_base(struct wv_quota *quota, wv_msec now, double base)
{
	quota->base = base;
	update_all(quota, now);
}

void
wv_quota_set_fraction(struct wv_quota *quota, wv_msec now, double fraction)
{
	quota->fraction = fraction;
	update_all(quota, now);
}

void
wv_quota_set_share(struct wv_quota *quota, wv_msec now, uint64_t hash,
    const struct wv_quota_share *share)
{
	gint64 key = (gint64)hash;
	struct bucket *bucket = g_hash_table_lookup(quota->buckets, &key);

	if (bucket == NULL)
		return;
	bucket->has_share = share != NULL;
	change_share(
	    quota, bucket, now, share != NULL ? *share : base_share(quota));
}

/* Lets the numbers of recent requests decay until now. */
static void
decay_recent(const struct wv_quota *quota, struct bucket *bucket, wv_msec now)
{
	double windows = (now - bucket->recent_at) / quota->limits.window;

	if (windows <= 0)
		return;
	bucket->recent *= exp(-windows);
	bucket->newest *= exp(-windows * NEWEST_PER_WINDOW);
	bucket->recent_at = now;
}

/* Returns the time until a refused request may be sent, with a random part. */
static wv_msec
time_until_token(struct wv_quota *quota, const struct bucket *bucket)
{
	const struct wv_quota_part *part = &bucket->share.part;
	wv_msec window = quota->limits.window;
	wv_msec wait = window * RETRY_WINDOWS_NO_CAPACITY;

	if (running_capacity(quota, bucket) * part->capacity >= 1)
		wait = fmin(window * MAX_RETRY_WINDOWS,
		    (1 - bucket->tokens) / (bucket->rate * part->rate));
	return wait +
	    fmax(wait * RETRY_JITTER, window * MIN_JITTER_WINDOWS) *
	    random_part(quota);
}

bool
wv_quota_charge(struct wv_quota *quota, wv_msec now, const struct wv_team *team,
    struct wv_quota_receipt *receipt, wv_msec *retry_after)
{
	struct bucket *bucket;

	*receipt = (struct wv_quota_receipt){0};
	if (!(quota->limits.window > 0) || !(team->rate > 0))
		return true;
	bucket = find_bucket(quota, team);
	if (bucket == NULL)
		return true;
	update(quota, bucket, now);
	decay_recent(quota, bucket, now);
	bucket->recent++;
	bucket->newest++;
	if (bucket->tokens < 1) {
		*retry_after = time_until_token(quota, bucket);
		return false;
	}
	bucket->tokens--;
	bucket->start_left = fmax(0, bucket->start_left - 1);
	bucket->refundable++;
	*receipt = (struct wv_quota_receipt){bucket->epoch, bucket->scale};
	return true;
}

/* Ends a charged request; returns the tokens that it can get back. */
static double
end_charge(struct bucket *bucket, struct wv_quota_receipt receipt)
{
	double tokens = bucket->scale / receipt.scale;

	tokens = fmin(tokens, bucket->refundable);
	bucket->refundable -= tokens;
	return tokens;
}

/* Ends the grants whose tokens can no longer be used. */
static void
end_grants(struct wv_quota *quota, wv_msec now)
{
	struct grant *grant = g_queue_peek_head(&quota->grants);

	for (; grant != NULL && grant->until <= now;
	     grant = g_queue_peek_head(&quota->grants)) {
		struct bucket *bucket =
		    g_hash_table_lookup(quota->buckets, &grant->hash);

		if (bucket != NULL) {
			update(quota, bucket, grant->until);
			bucket->held = fmax(0, bucket->held - grant->tokens);
		}
		g_free(g_queue_pop_head(&quota->grants));
	}
}

/* Takes up to n tokens for another VM; returns their number. */
static unsigned
hold_tokens(
    struct wv_quota *quota, wv_msec now, struct bucket *bucket, unsigned n)
{
	struct grant *grant;

	n = (unsigned)fmin(n, floor(bucket->tokens));
	if (n == 0)
		return 0;
	grant = g_new0(struct grant, 1);
	*grant = (struct grant){bucket->hash, n, now + GRANT_TIME};
	g_queue_push_tail(&quota->grants, grant);
	bucket->tokens -= n;
	bucket->start_left = fmax(0, bucket->start_left - n);
	bucket->held += n;
	return n;
}

unsigned
wv_quota_grant(struct wv_quota *quota, wv_msec now, uint64_t hash,
    unsigned wanted, wv_msec *retry_after)
{
	gint64 key = (gint64)hash;
	struct bucket *bucket;
	unsigned granted;

	end_grants(quota, now);
	bucket = g_hash_table_lookup(quota->buckets, &key);
	*retry_after = quota->limits.window * RETRY_WINDOWS_NO_CAPACITY;
	if (bucket == NULL)
		return 0;
	update(quota, bucket, now);
	granted = hold_tokens(quota, now, bucket, wanted);
	if (granted < wanted)
		*retry_after = time_until_token(quota, bucket);
	return granted;
}

void
wv_quota_adopt(struct wv_quota *quota, wv_msec now, const struct wv_team *team,
    struct wv_quota_receipt *receipt)
{
	struct bucket *bucket = find_bucket(quota, team);

	*receipt = (struct wv_quota_receipt){0};
	if (bucket == NULL)
		return;
	update(quota, bucket, now);
	*receipt = (struct wv_quota_receipt){bucket->epoch, bucket->scale};
	bucket->refundable++;
	update(quota, bucket, now);
}

static struct bucket *
find_charged(struct wv_quota *quota, wv_msec now, const struct wv_team *team,
    struct wv_quota_receipt receipt)
{
	struct bucket *bucket =
	    receipt.epoch != 0 ? find_bucket(quota, team) : NULL;

	if (bucket == NULL)
		return NULL;
	update(quota, bucket, now);
	return bucket->epoch == receipt.epoch ? bucket : NULL;
}

void
wv_quota_settle(struct wv_quota *quota, wv_msec now, const struct wv_team *team,
    struct wv_quota_receipt receipt)
{
	struct bucket *bucket = find_charged(quota, now, team, receipt);

	if (bucket != NULL)
		end_charge(bucket, receipt);
}

void
wv_quota_refund(struct wv_quota *quota, wv_msec now, const struct wv_team *team,
    struct wv_quota_receipt receipt)
{
	struct bucket *bucket = find_charged(quota, now, team, receipt);

	if (bucket != NULL)
		bucket->tokens += end_charge(bucket, receipt);
}

/*
 * Returns the requests per window that callers of this VM may send: from the
 * last window, or from its end if callers have just come.
 */
static double
demand_of(const struct wv_quota *quota, struct bucket *bucket, wv_msec now)
{
	double mean;

	decay_recent(quota, bucket, now);
	mean = bucket->recent;
	if (mean < MIN_RECENT)
		return 0;
	return fmax(mean + DEMAND_DEVIATIONS * sqrt(mean) + 1,
	    bucket->newest * NEWEST_PER_WINDOW);
}

static void
read_bucket(struct wv_quota *quota, struct bucket *bucket, wv_msec now,
    struct wv_quota_state *state)
{
	update(quota, bucket, now);
	state->hash = (uint64_t)bucket->hash;
	state->demand = demand_of(quota, bucket, now);
	state->permitted =
	    bucket->rate * quota->limits.window + bucket->capacity;
	state->capacity = running_capacity(quota, bucket);
	state->part = bucket->share.part;
	state->tokens = bucket->tokens;
}

bool
wv_quota_read(struct wv_quota *quota, wv_msec now, const struct wv_team *team,
    struct wv_quota_state *state)
{
	struct bucket *bucket = find_bucket(quota, team);

	if (bucket == NULL)
		return false;
	read_bucket(quota, bucket, now, state);
	return true;
}

void
wv_quota_foreach(struct wv_quota *quota, wv_msec now,
    void (*visit)(void *data, const struct wv_quota_state *state), void *data)
{
	GHashTableIter iter;
	gpointer value;

	end_grants(quota, now);
	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wv_quota_state state;

		read_bucket(quota, value, now, &state);
		visit(data, &state);
	}
}
