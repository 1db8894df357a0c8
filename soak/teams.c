/**
 * @file
 * Keys of the soak's callers, one of which is added and removed again, and the
 * check of what searchers see of the callers; also the rates of the teams.
 */
#include <stdlib.h>
#include <string.h>

#include "soak/action.h"
#include "soak/teams.h"

/** Time after which all VMs must apply a version, ms: configApplyMs. */
#define APPLY_BOUND 5000.0
/** Bounds of the random time between two changes of the extra key, ms. */
#define MIN_CHANGE_INTERVAL 6000
#define MAX_CHANGE_INTERVAL 9000
/** On average, one in this many requests has the extra key. */
#define EXTRA_EVERY 10
/**
 * Percentage of the requests that the team above its quota sends, and the time
 * for which it does so and then pauses, ms: in the pauses its buckets fill up,
 * and only full buckets show whether their capacity is within the quota.
 */
#define GREEDY_PERCENT 30
#define GREEDY_TIME 2500
/** Percentage of the requests that the team below its quota sends. */
#define MODEST_PERCENT 2
/** Stands between the rest of an identifier and the number of its team. */
#define TEAM_MARK ".t"

struct teams {
	struct soak *soak;
	struct cluster *cluster;
	struct quotas *quotas;
	unsigned count; /* extra keys so far */
	bool present; /* the newest one is in the routes */
	wv_msec changed_at;
	char key[32]; /* the newest extra key */
};

/* Returns the name that searchers must see, or NULL. */
static const char *
expected_name(const char *request)
{
	const char *mark = g_strrstr(request, TEAM_MARK);
	unsigned long team;

	if (mark == NULL)
		return NULL;
	team = strtoul(mark + strlen(TEAM_MARK), NULL, 10);
	return team < CLUSTER_TEAMS ? cluster_team_name((unsigned)team) : NULL;
}

static void
check_identity(void *data, const struct standin_identity *identity)
{
	struct teams *teams = data;
	char *request =
	    g_strndup(identity->request.data, identity->request.length);
	const char *expected = expected_name(request);

	if (identity->has_key)
		soak_record_violation(teams->soak,
		    "a searcher received a key with request %s", request);
	if (expected == NULL || identity->n_teams != 1 ||
	    !wv_string_equal(identity->team, wv_string_borrow(expected)))
		soak_record_violation(teams->soak,
		    "a searcher received request %s with team \"%.*s\"",
		    request, (int)identity->team.length, identity->team.data);
	quotas_note_arrival(teams->quotas, request);
	g_free(request);
}

/* Adds a new extra key, or removes the present one. */
static void
change_key(struct action *action)
{
	struct teams *teams = action->owner;

	teams->present = !teams->present;
	if (teams->present)
		g_snprintf(teams->key, sizeof(teams->key), "extra-key-%u",
		    ++teams->count);
	teams->changed_at = soak_now(teams->soak);
	cluster_set_extra_key(
	    teams->cluster, teams->present ? teams->key : NULL);
	soak_record_fault(teams->soak, "extra key %u is %s", teams->count,
	    teams->present ? "added" : "removed");
	action_repeat(action,
	    soak_random_ms(
		teams->soak, MIN_CHANGE_INTERVAL, MAX_CHANGE_INTERVAL));
}

static void
note_attempt(void *data, const struct attempt *attempt)
{
	struct teams *teams = data;

	if (!attempt->answered)
		quotas_note_attempt(
		    teams->quotas, attempt->request, soak_now(teams->soak));
}

static struct quotas *
create_quotas(struct soak *soak)
{
	static const struct quotas_config config = {CLUSTER_QUOTA_WINDOW_S,
	    CLUSTER_QUOTA_OVERSHOOT, CLUSTER_QUOTA_SLACK};
	struct quotas_limit limits[CLUSTER_TEAMS];

	for (unsigned i = 0; i < CLUSTER_TEAMS; i++) {
		limits[i].rate = cluster_team_rate(i);
		limits[i].burst = cluster_team_burst(i);
	}
	return quotas_create(soak, &config, limits, CLUSTER_TEAMS);
}

struct teams *
teams_create(
    struct soak *soak, struct cluster *cluster, struct attempts *attempts)
{
	struct teams *teams = g_new0(struct teams, 1);

	teams->soak = soak;
	teams->cluster = cluster;
	teams->quotas = create_quotas(soak);
	attempts_observe(attempts, note_attempt, teams);
	standin_searchers_observe(
	    cluster_searchers(cluster), check_identity, teams);
	action_schedule(soak, 0, teams, change_key);
	return teams;
}

void
teams_destroy(struct teams *teams)
{
	quotas_destroy(teams->quotas);
	g_free(teams);
}

/* Draws the team of a request. */
static unsigned
draw_team(struct teams *teams)
{
	unsigned percent = soak_random_below(teams->soak, 100);
	wv_msec elapsed = soak_now(teams->soak) - soak_started_at(teams->soak);

	if (percent < MODEST_PERCENT)
		return CLUSTER_MODEST_TEAM;
	if (percent < MODEST_PERCENT + GREEDY_PERCENT &&
	    (unsigned)(elapsed / GREEDY_TIME) % 2 == 0)
		return CLUSTER_GREEDY_TEAM;
	return soak_random_below(teams->soak, CLUSTER_GREEDY_TEAM);
}

void
teams_draw(struct teams *teams, wv_msec affected_until, struct teams_key *key)
{
	wv_msec settled = MAX(teams->changed_at, affected_until);

	settled = MAX(settled, cluster_store_affected_until(teams->cluster));
	key->team = draw_team(teams);
	key->key = cluster_team_key(key->team);
	key->answer = TEAMS_SERVED;
	if (teams->count == 0 || cluster_team_rate(key->team) > 0 ||
	    soak_random_below(teams->soak, EXTRA_EVERY) > 0)
		return;
	key->team = 0;
	key->key = teams->key;
	if (soak_now(teams->soak) <= settled + APPLY_BOUND)
		key->answer = TEAMS_EITHER;
	else
		key->answer = teams->present ? TEAMS_SERVED : TEAMS_REFUSED;
}

struct quotas *
teams_quotas(struct teams *teams)
{
	return teams->quotas;
}

void
teams_mark_request(char *id, size_t size, unsigned team)
{
	size_t length = strlen(id);

	g_snprintf(id + length, size - length, TEAM_MARK "%u", team);
}
