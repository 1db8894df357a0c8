/**
 * @file
 * Loans of quota from hubs to the homes of teams.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "src/private.h"
#include "wisteriavane/quota_pool.h"

/** Length of a step in which loans are recorded, ms: a round of reports. */
#define STEP 250.0
/** Steps, after the one in which a loan was sent, in which it is not used. */
#define HELD_STEPS 4
/**
 * Time for which a borrower uses a loan after it sent the report that the
 * lender echoes, ms. The lender holds the loan for at least HELD_STEPS steps
 * after it sent it, which is later; the rest is for clocks of unequal speed.
 */
#define LEASE 950.0
/** Silence after which nothing is lent to a hub any more, ms. */
#define MAX_SILENCE 1000.0
/**
 * Fraction of its base that a hub never lends, so that some requests pass while
 * no home of their team answers. A process that has started uses no more until
 * the loans of the previous one have ended.
 */
#define MIN_KEPT 0.1
/**
 * Least demand that a hub keeps for its own callers, requests per window: about
 * 12 on average. With fewer, what it would keep for their variation is more
 * than they need, and is missing at the homes. Measured in
 * docs/design/quotas.md.
 */
#define MIN_DEMAND_KEPT 20.0
/** Reports whose time is remembered; more than are sent during a lease. */
#define SENT_REPORTS 64
/** Hubs that are remembered: datagrams are not authenticated. */
#define MAX_MEMBERS 64

/* What this VM lent to a hub. */
struct loan {
	uint64_t borrower;
	struct wv_quota_loan planned; /* in the next reports */
	struct wv_quota_loan sent[HELD_STEPS + 1]; /* greatest by step */
};

struct team {
	gint64 hash; /* of the name; key in the table */
	uint64_t homes[WV_QUOTA_HOMES]; /* hashes of their names; 0: none */
	struct wv_quota_part surplus; /* what this VM does not need */
	GArray *loans; /* struct loan; owned */
	bool listed; /* found in the quotas */
};

/* Another hub that has sent a report. */
struct member {
	gint64 hash; /* of the name; key in the table */
	wv_msec heard_at;
	wv_msec lease_until; /* of its loans to this VM */
	struct wv_quota_item items[WV_QUOTA_MAX_ITEMS];
	size_t n_items;
	size_t planned; /* loans to it that are planned so far */
};

struct wv_quota_pool {
	struct wv_quota *quota;
	uint64_t own; /* hash of this VM's name */
	uint64_t incarnation;
	GArray *hubs; /* uint64_t: hashes of their names, sorted; owned */
	wv_msec quiet_until; /* loans of the previous process have ended */
	double base;
	int64_t step; /* newest step in which loans were recorded */
	GHashTable *teams; /* struct team by hash; owned */
	GHashTable *members; /* struct member by hash; owned */
	struct {
		uint64_t sequence;
		wv_msec at;
	} sent[SENT_REPORTS];
};

static void
team_destroy(gpointer data)
{
	struct team *team = data;

	g_array_unref(team->loans);
	g_free(team);
}

struct wv_quota_pool *
wv_quota_pool_create(struct wv_quota *quota, uint64_t own, uint64_t incarnation,
    wv_msec started_at)
{
	struct wv_quota_pool *pool = g_new0(struct wv_quota_pool, 1);

	pool->quota = quota;
	pool->own = own;
	pool->incarnation = incarnation;
	pool->hubs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	pool->quiet_until = started_at + HELD_STEPS * STEP;
	pool->teams = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, team_destroy);
	pool->members =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return pool;
}

void
wv_quota_pool_destroy(struct wv_quota_pool *pool)
{
	g_hash_table_unref(pool->teams);
	g_hash_table_unref(pool->members);
	g_array_unref(pool->hubs);
	g_free(pool);
}

static size_t
slot_of(int64_t step)
{
	return (size_t)(step % (HELD_STEPS + 1));
}

/* Forgets loans that were sent in steps that have ended long ago. */
static void
advance_steps(struct wv_quota_pool *pool, wv_msec now)
{
	int64_t step = (int64_t)floor(now / STEP);
	GHashTableIter iter;
	gpointer value;

	if (step - pool->step > HELD_STEPS)
		pool->step = step - HELD_STEPS - 1;
	while (pool->step < step) {
		pool->step++;
		g_hash_table_iter_init(&iter, pool->teams);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct team *team = value;

			for (guint i = 0; i < team->loans->len; i++)
				g_array_index(team->loans, struct loan, i)
				    .sent[slot_of(pool->step)] =
				    (struct wv_quota_loan){0, 0};
		}
	}
}

static void
add_part(struct wv_quota_part *sum, double rate, double capacity)
{
	sum->rate += rate;
	sum->capacity += capacity;
}

/* Returns what a hub may still use of this VM's loans; loan may be NULL. */
static struct wv_quota_part
outstanding(const struct loan *loan)
{
	struct wv_quota_part greatest = {0, 0};

	for (size_t i = 0; loan != NULL && i <= HELD_STEPS; i++) {
		/* GCC 12.2 fails on fmax() here at -O3 on arm64. */
		greatest.rate = MAX(greatest.rate, loan->sent[i].rate);
		greatest.capacity =
		    MAX(greatest.capacity, loan->sent[i].capacity);
	}
	return greatest;
}

static bool
is_empty(struct wv_quota_part part)
{
	return part.rate == 0 && part.capacity == 0;
}

static struct wv_quota_part
sum_outstanding(const struct team *team)
{
	struct wv_quota_part sum = {0, 0};

	for (guint i = 0; i < team->loans->len; i++) {
		struct wv_quota_part part =
		    outstanding(&g_array_index(team->loans, struct loan, i));

		add_part(&sum, part.rate, part.capacity);
	}
	return sum;
}

static const struct wv_quota_item *
find_item(const struct member *member, gint64 hash)
{
	for (size_t i = 0; i < member->n_items; i++) {
		if (member->items[i].hash == (uint64_t)hash)
			return &member->items[i];
	}
	return NULL;
}

static bool
lends(const struct wv_quota_item *item)
{
	return item->loan.rate > 0 || item->loan.capacity > 0;
}

/* Adds the valid loans of other hubs; until becomes the end of the first. */
static struct wv_quota_part
sum_borrowed(
    const struct wv_quota_pool *pool, wv_msec now, gint64 hash, wv_msec *until)
{
	struct wv_quota_part sum = {0, 0};
	GHashTableIter iter;
	gpointer value;

	*until = WV_MSEC_NEVER;
	g_hash_table_iter_init(&iter, pool->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;
		const struct wv_quota_item *item;

		if (member->lease_until <= now)
			continue;
		item = find_item(member, hash);
		if (item == NULL || !lends(item))
			continue;
		add_part(&sum, item->loan.rate, item->loan.capacity);
		*until = fmin(*until, member->lease_until);
	}
	return sum;
}

/* Returns this VM's fraction of a limit of which it has lent nothing. */
static double
own_base(const struct wv_quota_pool *pool, wv_msec now)
{
	return now < pool->quiet_until ? pool->base * MIN_KEPT : pool->base;
}

/* Returns this VM's own part of a team's limit, without loans to it. */
static struct wv_quota_part
own_part(const struct wv_quota_pool *pool, wv_msec now, const struct team *team)
{
	struct wv_quota_part lent = sum_outstanding(team);
	double base = own_base(pool, now);

	return (struct wv_quota_part){
	    fmax(0, base - lent.rate), fmax(0, base - lent.capacity)};
}

static void
update_share(struct wv_quota_pool *pool, wv_msec now, const struct team *team)
{
	struct wv_quota_share share = {.fallback = own_part(pool, now, team)};

	share.part = sum_borrowed(pool, now, team->hash, &share.until);
	add_part(&share.part, share.fallback.rate, share.fallback.capacity);
	wv_quota_set_share(pool->quota, now, (uint64_t)team->hash, &share);
}

static void
update_shares(struct wv_quota_pool *pool, wv_msec now)
{
	GHashTableIter iter;
	gpointer value;

	advance_steps(pool, now);
	wv_quota_set_base(pool->quota, now, pool->base);
	wv_quota_set_fraction(pool->quota, now, own_base(pool, now));
	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_share(pool, now, value);
}

void
wv_quota_pool_set_base(struct wv_quota_pool *pool, wv_msec now, double base)
{
	pool->base = base;
	update_shares(pool, now);
}

/*
 * Sets the homes of a team: the hubs that come first by rendezvous hashing. So
 * a hub that comes or goes changes the homes of few teams.
 */
static void
choose_homes(const struct wv_quota_pool *pool, struct team *team)
{
	uint64_t weights[WV_QUOTA_HOMES] = {0};

	memset(team->homes, 0, sizeof(team->homes));
	for (guint i = 0; i < pool->hubs->len; i++) {
		uint64_t hub = g_array_index(pool->hubs, uint64_t, i);
		uint64_t weight = XXH3_64bits_withSeed(
		    &hub, sizeof(hub), (uint64_t)team->hash);

		for (size_t j = 0; j < WV_QUOTA_HOMES; j++) {
			uint64_t next_weight = weights[j];
			uint64_t next_hub = team->homes[j];

			if (next_hub != 0 && next_weight >= weight)
				continue;
			weights[j] = weight;
			team->homes[j] = hub;
			weight = next_weight;
			hub = next_hub;
			if (hub == 0)
				break;
		}
	}
}

static bool
is_home(const struct team *team, uint64_t hub)
{
	for (size_t i = 0; i < WV_QUOTA_HOMES; i++) {
		if (team->homes[i] == hub)
			return true;
	}
	return false;
}

static unsigned
count_homes(const struct team *team)
{
	unsigned n = 0;

	for (size_t i = 0; i < WV_QUOTA_HOMES; i++)
		n += team->homes[i] != 0;
	return n;
}

static gint
compare_hashes(gconstpointer a, gconstpointer b)
{
	uint64_t first = *(const uint64_t *)a, second = *(const uint64_t *)b;

	return (first > second) - (first < second);
}

void
wv_quota_pool_set_hubs(
    struct wv_quota_pool *pool, const uint64_t *hubs, size_t n)
{
	GArray *sorted =
	    g_array_sized_new(FALSE, FALSE, sizeof(uint64_t), (guint)n);
	GHashTableIter iter;
	gpointer value;

	g_array_append_vals(sorted, hubs, (guint)n);
	g_array_sort(sorted, compare_hashes);
	if (n == pool->hubs->len &&
	    (n == 0 ||
		memcmp(sorted->data, pool->hubs->data, n * sizeof(*hubs)) ==
		    0)) {
		g_array_unref(sorted);
		return;
	}
	g_array_unref(pool->hubs);
	pool->hubs = sorted;
	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		choose_homes(pool, value);
}

size_t
wv_quota_pool_list_homes(const struct wv_quota_pool *pool, uint64_t hash,
    uint64_t homes[static WV_QUOTA_HOMES])
{
	gint64 key = (gint64)hash;
	const struct team *team = g_hash_table_lookup(pool->teams, &key);
	size_t n = 0;

	for (size_t i = 0; team != NULL && i < WV_QUOTA_HOMES; i++) {
		if (team->homes[i] != 0 && team->homes[i] != pool->own)
			homes[n++] = team->homes[i];
	}
	return n;
}

static struct team *
find_or_add_team(struct wv_quota_pool *pool, uint64_t hash)
{
	gint64 key = (gint64)hash;
	struct team *team = g_hash_table_lookup(pool->teams, &key);

	if (team != NULL)
		return team;
	team = g_new0(struct team, 1);
	team->hash = key;
	team->loans = g_array_new(FALSE, TRUE, sizeof(struct loan));
	choose_homes(pool, team);
	g_hash_table_insert(pool->teams, &team->hash, team);
	return team;
}

/*
 * Compares the demand of a team with the base fraction. What this VM does not
 * need is lent, unless it is a home of the team itself.
 */
static void
assess_team(void *data, const struct wv_quota_state *state)
{
	struct wv_quota_pool *pool = data;
	struct team *team = find_or_add_team(pool, state->hash);
	double needed = state->demand >= MIN_DEMAND_KEPT
	    ? state->demand / state->permitted
	    : 0;
	double surplus = pool->base - fmax(needed, pool->base * MIN_KEPT);

	team->listed = true;
	team->surplus = (struct wv_quota_part){0, 0};
	if (is_home(team, pool->own))
		return;
	team->surplus.rate = fmax(0, surplus);
	team->surplus.capacity = team->surplus.rate;
}

/* A team that the quotas no longer have is kept while loans of it may run. */
static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
	struct team *team = value;
	bool listed = team->listed;

	(void)key;
	(void)data;
	team->listed = false;
	if (listed)
		return FALSE;
	team->surplus = (struct wv_quota_part){0, 0};
	return is_empty(sum_outstanding(team));
}

/*
 * Returns what this VM lends to a hub: its part of the surplus, if the hub is a
 * home of the team, was heard lately and has heard this VM lately. Otherwise it
 * could not use the loan.
 */
static struct wv_quota_part
wanted_part(const struct team *team, wv_msec now, const struct member *member)
{
	double part;

	if (!is_home(team, (uint64_t)member->hash) ||
	    now - member->heard_at > MAX_SILENCE ||
	    now - member->lease_until > MAX_SILENCE ||
	    member->planned >= WV_QUOTA_MAX_ITEMS)
		return (struct wv_quota_part){0, 0};
	part = 1.0 / count_homes(team);
	return (struct wv_quota_part){
	    team->surplus.rate * part, team->surplus.capacity * part};
}

static struct loan *
find_loan(const struct team *team, uint64_t borrower)
{
	for (guint i = 0; i < team->loans->len; i++) {
		struct loan *loan = &g_array_index(team->loans, struct loan, i);

		if (loan->borrower == borrower)
			return loan;
	}
	return NULL;
}

/* Records a loan that the next reports tell a hub of. */
static void
lend(struct wv_quota_pool *pool, struct team *team, uint64_t borrower,
    struct wv_quota_loan planned)
{
	struct loan *loan = find_loan(team, borrower);
	struct wv_quota_loan *sent;

	if (loan == NULL) {
		struct loan added = {.borrower = borrower};

		if (planned.rate == 0 && planned.capacity == 0)
			return;
		g_array_append_val(team->loans, added);
		loan = find_loan(team, borrower);
	}
	loan->planned = planned;
	sent = &loan->sent[slot_of(pool->step)];
	sent->rate = fmaxf(sent->rate, planned.rate);
	sent->capacity = fmaxf(sent->capacity, planned.capacity);
}

/*
 * Returns which part of the increases of loans is possible: what other hubs may
 * still use of earlier loans can't be lent again.
 */
static struct wv_quota_part
possible_part(
    const struct wv_quota_pool *pool, wv_msec now, const struct team *team)
{
	struct wv_quota_part lent = sum_outstanding(team);
	struct wv_quota_part room = {fmax(0, team->surplus.rate - lent.rate),
	    fmax(0, team->surplus.capacity - lent.capacity)};
	struct wv_quota_part increase = {0, 0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;
		struct wv_quota_part before =
		    outstanding(find_loan(team, (uint64_t)member->hash));
		struct wv_quota_part wanted = wanted_part(team, now, member);

		add_part(&increase, fmax(0, wanted.rate - before.rate),
		    fmax(0, wanted.capacity - before.capacity));
	}
	return (struct wv_quota_part){
	    increase.rate > room.rate ? room.rate / increase.rate : 1,
	    increase.capacity > room.capacity
		? room.capacity / increase.capacity
		: 1};
}

/* Returns a loan: what is wanted, but only a part of an increase. */
static float
limit_increase(double wanted, double before, double possible)
{
	return (float)(wanted <= before
		? wanted
		: before + (wanted - before) * possible);
}

static void
plan_loan(struct wv_quota_pool *pool, struct team *team, uint64_t borrower,
    struct wv_quota_part wanted, struct wv_quota_part possible)
{
	struct wv_quota_part before = outstanding(find_loan(team, borrower));
	struct wv_quota_loan planned = {
	    limit_increase(wanted.rate, before.rate, possible.rate),
	    limit_increase(
		wanted.capacity, before.capacity, possible.capacity)};

	lend(pool, team, borrower, planned);
}

/* Divides what this VM does not need among the homes of a team. */
static void
plan_loans(struct wv_quota_pool *pool, wv_msec now, struct team *team)
{
	struct wv_quota_part possible = possible_part(pool, now, team);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < team->loans->len; i++)
		g_array_index(team->loans, struct loan, i).planned =
		    (struct wv_quota_loan){0, 0};
	g_hash_table_iter_init(&iter, pool->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *member = value;
		struct wv_quota_part wanted = wanted_part(team, now, member);

		if (is_empty(wanted))
			continue;
		plan_loan(pool, team, (uint64_t)member->hash, wanted, possible);
		member->planned++;
	}
	for (guint i = team->loans->len; i-- > 0;) {
		if (is_empty(outstanding(
			&g_array_index(team->loans, struct loan, i))))
			g_array_remove_index_fast(team->loans, i);
	}
}

static gboolean
is_silent(gpointer key, gpointer value, gpointer data)
{
	const struct member *member = value;

	(void)key;
	return *(const wv_msec *)data - member->heard_at > 2 * MAX_SILENCE;
}

void
wv_quota_pool_plan(struct wv_quota_pool *pool, wv_msec now, bool is_hub)
{
	bool lends = is_hub && now >= pool->quiet_until;
	GHashTableIter iter;
	gpointer value;

	advance_steps(pool, now);
	g_hash_table_foreach_remove(pool->members, is_silent, &now);
	g_hash_table_iter_init(&iter, pool->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct member *)value)->planned = 0;
	wv_quota_foreach(pool->quota, now, assess_team, pool);
	g_hash_table_foreach_remove(pool->teams, is_forgotten, NULL);
	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct team *team = value;

		if (!lends)
			team->surplus = (struct wv_quota_part){0, 0};
		plan_loans(pool, now, team);
	}
	update_shares(pool, now);
}

void
wv_quota_pool_record_sent(
    struct wv_quota_pool *pool, wv_msec now, uint64_t sequence)
{
	size_t i = sequence % SENT_REPORTS;

	pool->sent[i].sequence = sequence;
	pool->sent[i].at = now;
}

size_t
wv_quota_pool_list_items(const struct wv_quota_pool *pool, uint64_t receiver,
    struct wv_quota_item items[static WV_QUOTA_MAX_ITEMS])
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, pool->teams);
	while (n < WV_QUOTA_MAX_ITEMS &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct team *team = value;
		const struct loan *loan = find_loan(team, receiver);

		if (loan != NULL &&
		    (loan->planned.rate > 0 || loan->planned.capacity > 0))
			items[n++] = (struct wv_quota_item){
			    (uint64_t)team->hash, loan->planned};
	}
	return n;
}

static struct member *
find_or_add_member(struct wv_quota_pool *pool, uint64_t hash)
{
	gint64 key = (gint64)hash;
	struct member *member = g_hash_table_lookup(pool->members, &key);

	if (member != NULL || g_hash_table_size(pool->members) >= MAX_MEMBERS)
		return member;
	member = g_new0(struct member, 1);
	member->hash = key;
	g_hash_table_insert(pool->members, &member->hash, member);
	return member;
}

/* Updates the shares of the teams that a hub lends something of. */
static void
update_lent(struct wv_quota_pool *pool, wv_msec now,
    const struct wv_quota_item *items, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		gint64 key = (gint64)items[i].hash;
		const struct team *team =
		    g_hash_table_lookup(pool->teams, &key);

		if (lends(&items[i]) && team != NULL)
			update_share(pool, now, team);
	}
}

static bool
is_valid_item(const struct wv_quota_item *item)
{
	return item->loan.rate >= 0 && item->loan.rate <= 1 &&
	    item->loan.capacity >= 0 && item->loan.capacity <= 1;
}

/* Returns when the loans of a report end: -WV_MSEC_NEVER if it has none. */
static wv_msec
lease_end(
    const struct wv_quota_pool *pool, const struct wv_quota_report *report)
{
	size_t i = report->echo_sequence % SENT_REPORTS;

	if (report->echo_sequence == 0 ||
	    report->echo_incarnation != pool->incarnation ||
	    pool->sent[i].sequence != report->echo_sequence)
		return -WV_MSEC_NEVER;
	return pool->sent[i].at + LEASE;
}

void
wv_quota_pool_apply(struct wv_quota_pool *pool, wv_msec now,
    const struct wv_quota_report *report)
{
	struct member *member = find_or_add_member(pool, report->sender);
	size_t n = MIN(report->n_items, WV_QUOTA_MAX_ITEMS);
	struct member before;

	if (member == NULL)
		return;
	before = *member;
	member->heard_at = now;
	member->lease_until = lease_end(pool, report);
	member->n_items = 0;
	for (size_t i = 0; i < n; i++) {
		if (is_valid_item(&report->items[i]))
			member->items[member->n_items++] = report->items[i];
	}
	advance_steps(pool, now);
	update_lent(pool, now, before.items, before.n_items);
	update_lent(pool, now, member->items, member->n_items);
}

bool
wv_quota_pool_is_active(const struct wv_quota_pool *pool)
{
	return g_hash_table_size(pool->teams) > 0;
}

void
wv_quota_pool_read(const struct wv_quota_pool *pool, wv_msec now,
    struct wv_quota_pool_state *state)
{
	GHashTableIter iter;
	gpointer value;
	wv_msec until;

	*state = (struct wv_quota_pool_state){0};
	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct team *team = value;
		struct wv_quota_part borrowed =
		    sum_borrowed(pool, now, team->hash, &until);
		struct wv_quota_part lent = sum_outstanding(team);

		state->homes += is_home(team, pool->own);
		for (guint i = 0; i < team->loans->len; i++)
			state->loans +=
			    g_array_index(team->loans, struct loan, i)
				.planned.rate > 0;
		add_part(&state->lent, lent.rate, lent.capacity);
		add_part(&state->borrowed, borrowed.rate, borrowed.capacity);
	}
}
