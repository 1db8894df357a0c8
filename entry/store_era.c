/**
 * @file
 * Eras of the store. The era rises when the store comes back from an older
 * copy: this VM then reads its lists again, keeps what was promised to callers
 * for a time, and writes its own entry again.
 */
#include <math.h>

#include "entry/store_sync_private.h"
#include "wisteriavane/removal.h"

/**
 * Time in which the operator and the searchers write their objects again after
 * a change of the era, ms.
 */
#define ERA_GRACE 5000.0
/**
 * Time over which the VMs write their own entries again, for each VM and at
 * least, ms: a tenth of the 1,200 writes per second that the store takes.
 */
#define WRITE_TIME_PER_VM 8.0
#define MIN_WRITE_TIME 1000.0

/* Returns the era of an answer, or the known one if it doesn't state one. */
static uint64_t
answer_era(const struct follower *follower, const struct message *answer)
{
	const struct store_sync *sync = follower->sync;
	struct wv_string text = {"", 0};
	uint64_t era;

	if (message_find_field(answer, sync->deps.adapter->era, &text) == 1 &&
	    message_parse_number(text, &era))
		return MIN(era, WV_POSITION_MAX_ERA);
	/* A VM of an earlier version knows no eras. */
	return follower->from_peer ? 0 : sync->era;
}

static void
begin_era(struct follower *follower, uint64_t era)
{
	struct store_sync *sync = follower->sync;
	const struct store_sync_deps *deps = &sync->deps;
	wv_msec now = store_now(sync);
	struct wv_peer_role role =
	    wv_peers_get_role(deps->peers, now, store_sync_has_failed(sync));
	wv_msec spread = fmax(WRITE_TIME_PER_VM * role.vms, MIN_WRITE_TIME);

	log_line(deps->log, LOG_CHANGE, "store_era_changed",
	    "\"kind\":\"%s\",\"from\":\"%s\",\"era\":%" G_GUINT64_FORMAT
	    ",\"before\":%" G_GUINT64_FORMAT,
	    store_kind_name(follower->kind), follower->address, era, sync->era);
	wv_counter_add(&deps->metrics->store_eras, 1);
	sync->era = era;
	sync->era_began_at = now;
	sync->register_at = now + spread * g_random_double();
	wv_registry_start_era(deps->registry, now, ERA_GRACE);
	wv_registry_expect_entries(deps->registry, now + ERA_GRACE);
	wv_removal_forget_revisions(wv_peers_removal(deps->peers));
}

bool
store_is_era_grace(const struct store_sync *sync)
{
	return store_now(sync) - sync->era_began_at < ERA_GRACE;
}

bool
store_register_is_due(const struct store_sync *sync)
{
	return store_now(sync) >= sync->register_at;
}

/* Returns the era to which the list being read, or the changes, belong. */
static uint64_t
follower_era(const struct follower *follower)
{
	return wv_position_era(wv_change_log_position(follower->changes));
}

enum store_era_result
store_check_era(struct follower *follower, const struct message *answer)
{
	struct store_sync *sync = follower->sync;
	uint64_t era = answer_era(follower, answer);
	bool further_page =
	    follower->phase == PHASE_LIST && follower->list_after != NULL;

	follower->answer_era = era;
	if (!sync->era_known && !follower->from_peer) {
		sync->era_known = true;
		sync->era = MAX(sync->era, era);
	}
	if (era > sync->era)
		begin_era(follower, era);
	if (follower->from_peer || !store_is_followed(follower))
		return STORE_ERA_SAME;
	if (era < sync->era)
		return STORE_ERA_OLD;
	if ((follower->phase == PHASE_FOLLOW || further_page) &&
	    era > follower_era(follower))
		return STORE_ERA_NEW;
	return STORE_ERA_SAME;
}

uint64_t
store_page_position(const struct follower *follower)
{
	return wv_position_make(follower->answer_era, follower->page->revision);
}

void
store_begin_confirm(
    struct follower *follower, const struct wv_peer_report *report)
{
	follower->confirms = false;
	follower->phase = PHASE_CONFIRM;
	follower->from_peer = true;
	store_send_call(follower, report->peer_address.data);
}

void
store_apply_confirm(struct follower *follower, const struct message *answer)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	struct wv_string body = {answer->body->str, answer->body->len};
	struct wv_status status = {0};
	struct store_page page = {0};

	follower->phase = PHASE_FOLLOW;
	if (answer->status != 200)
		return;
	deps->adapter->decode(
	    body, &page, store_apply_confirmed, follower, &status);
	g_free(page.last_name);
}
