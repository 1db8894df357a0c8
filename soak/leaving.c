/**
 * @file
 * Check that a VM sends nothing more to a searcher that has told it in an
 * answer that it is leaving.
 */
#include <string.h>

#include "entry/platform_adapter.h"
#include "soak/leaving.h"

/* What a VM's process knows. */
struct told {
	unsigned process; /* vm->starts of it; 0: no process was told */
	wv_msec at; /* monotonic, ms */
};

struct leaving {
	struct soak *soak;
	struct vms *vms;
	unsigned searcher;
	wv_msec bound;
	bool active;
	struct told told[VMS_MAX];
};

static void
check_request(struct leaving *leaving, const char *id)
{
	struct vm *vm = vms_find_tagged(leaving->vms, id);
	wv_msec now = soak_now(leaving->soak);
	struct told *told;

	if (vm == NULL || !leaving->active)
		return;
	told = &leaving->told[vm->index];
	/* A VM that was paused may have read the answer only afterwards. */
	if (told->process != vm->starts ||
	    now <= MAX(told->at, vm->resumed_at) + leaving->bound)
		return;
	soak_record_violation(leaving->soak,
	    "searcher %u got request %s %.0f ms after it had told %s that it "
	    "is leaving",
	    leaving->searcher, id, now - told->at, vm->name);
	told->process = 0;
}

/* Notes which process has been told, by the request that was answered. */
static void
note_answer(struct leaving *leaving, const char *id)
{
	struct vm *vm = vms_find_tagged(leaving->vms, id);
	struct told *told;

	if (vm == NULL || vm->paused)
		return;
	told = &leaving->told[vm->index];
	if (told->process == vm->starts)
		return;
	told->process = vm->starts;
	told->at = soak_now(leaving->soak);
}

static void
on_attempt(void *data, const struct attempt *attempt)
{
	struct leaving *leaving = data;
	char says[ATTEMPT_FIELD_SIZE];

	if (attempt->searcher != leaving->searcher)
		return;
	if (!attempt->answered) {
		check_request(leaving, attempt->request);
		return;
	}
	attempt_read_field(attempt, platform_get_adapter()->leaving, says);
	if (leaving->active && g_str_equal(says, "1"))
		note_answer(leaving, attempt->request);
}

struct leaving *
leaving_create(struct soak *soak, struct vms *vms, struct attempts *attempts,
    unsigned searcher, wv_msec bound)
{
	struct leaving *leaving = g_new0(struct leaving, 1);

	leaving->soak = soak;
	leaving->vms = vms;
	leaving->searcher = searcher;
	leaving->bound = bound;
	attempts_observe(attempts, on_attempt, leaving);
	return leaving;
}

void
leaving_begin(struct leaving *leaving)
{
	memset(leaving->told, 0, sizeof(leaving->told));
	leaving->active = true;
}

void
leaving_end(struct leaving *leaving)
{
	leaving->active = false;
}
