/**
 * @file
 * Encoding of a VM's reports to other VMs as datagrams of bounded size.
 */
#include <math.h>

#include "entry/report_encode.h"
#include "wisteriavane/store_position.h"
#include "proto/vm_report.pb-c.h"

/** Longest identifier of a searcher in a hint. */
#define MAX_HINTED_ID 64

/** Age from which a confirmation of the routes is not reported, ms. */
#define MAX_ROUTES_AGE 1e9

/* Hints about leaving searchers, to be packed. */
struct packed_hints {
	size_t n;
	LeavingHint items[REPORT_MAX_HINTS];
	LeavingHint *pointers[REPORT_MAX_HINTS];
};

static void
fill_hints(struct packed_hints *packed, const struct report_hints *hints)
{
	packed->n = 0;
	for (size_t i = 0; i < hints->n; i++) {
		const struct wv_leaving_hint *hint = &hints->items[i];
		LeavingHint *item = &packed->items[packed->n];

		if (hint->searcher.length > MAX_HINTED_ID)
			continue;
		leaving_hint__init(item);
		item->searcher = hint->searcher.data;
		item->started = hint->started;
		/* Rounded up, so that it does not become younger on its way. */
		item->age = (uint32_t)ceil(hint->age);
		packed->pointers[packed->n++] = item;
	}
}

/* Quota items, to be packed. */
struct packed_quota {
	QuotaItem items[WV_QUOTA_MAX_ITEMS];
	QuotaItem *pointers[WV_QUOTA_MAX_ITEMS];
};

/* Adds the quota items, and with them the echo that bounds their age. */
static void
fill_quota(VmReport *report, struct packed_quota *packed,
    const struct report_quota *quota, const struct wv_peer_target *target)
{
	for (size_t i = 0; i < quota->n; i++) {
		const struct wv_quota_item *item = &quota->items[i];

		quota_item__init(&packed->items[i]);
		packed->items[i].hash = item->hash;
		packed->items[i].rate = item->loan.rate;
		packed->items[i].capacity = item->loan.capacity;
		packed->pointers[i] = &packed->items[i];
	}
	if (quota->echo) {
		report->echo_incarnation = target->echo_incarnation;
		report->echo_sequence = target->echo_sequence;
	}
	report->n_quota_items = quota->n;
	report->quota_items = packed->pointers;
}

static void
fill_report(VmReport *report, const struct wv_peer_report *own,
    const struct wv_peer_target *target, const GPtrArray *hubs)
{
	vm_report__init(report);
	report->protocol = REPORT_VERSION;
	report->name = own->name.data;
	report->incarnation = own->incarnation;
	report->sequence = own->sequence;
	report->peers = own->peer_address.data;
	report->callers = own->caller_address.data;
	report->zone = own->zone.data;
	report->serving = own->serving;
	report->leaving = own->leaving;
	report->capacity = own->capacity;
	report->store_failed = own->store_failed;
	report->routes_revision =
	    wv_position_revision(own->positions[WV_PEER_ROUTES]);
	report->routes_era = wv_position_era(own->positions[WV_PEER_ROUTES]);
	report->searchers_revision =
	    wv_position_revision(own->positions[WV_PEER_SEARCHERS]);
	report->searchers_era =
	    wv_position_era(own->positions[WV_PEER_SEARCHERS]);
	report->evacuations_revision =
	    wv_position_revision(own->positions[WV_PEER_EVACUATIONS]);
	report->evacuations_era =
	    wv_position_era(own->positions[WV_PEER_EVACUATIONS]);
	report->evacuations_known = own->has_evacuations;
	report->routes_version = own->routes_version;
	/* Rounded up, so that it does not become younger on its way. */
	if (own->routes_age >= 0 && own->routes_age < MAX_ROUTES_AGE)
		report->routes_confirmed_age =
		    1 + (uint32_t)ceil(own->routes_age);
	report->leaf = own->is_leaf;
	report->view = own->view;
	report->attach = target->attach;
	report->introduces = target->introduces;
	report->known_view = target->known_view;
	if (target->with_hubs && hubs != NULL) {
		report->n_hubs = hubs->len;
		report->hubs = (VmState **)hubs->pdata;
	}
}

size_t
report_encode(const struct wv_peer_report *own,
    const struct wv_peer_target *target, const GPtrArray *hubs,
    const struct report_hints *hints, const struct report_quota *quota,
    uint8_t buffer[REPORT_MAX_BYTES])
{
	struct packed_hints packed;
	struct packed_quota packed_quota;
	VmReport report;

	fill_report(&report, own, target, hubs);
	fill_hints(&packed, hints);
	report.n_leaving_searchers = packed.n;
	report.leaving_searchers = packed.pointers;
	fill_quota(&report, &packed_quota, quota, target);
	if (vm_report__get_packed_size(&report) > REPORT_MAX_BYTES)
		report.n_leaving_searchers = 0;
	if (vm_report__get_packed_size(&report) > REPORT_MAX_BYTES)
		report.n_quota_items = 0;
	if (vm_report__get_packed_size(&report) > REPORT_MAX_BYTES)
		return 0;
	return vm_report__pack(&report, buffer);
}
