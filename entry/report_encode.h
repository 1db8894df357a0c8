/**
 * @file
 * Encoding of a VM's reports to other VMs as datagrams of bounded size.
 */
#ifndef WISTERIAVANE_ENTRY_REPORT_ENCODE_H
#define WISTERIAVANE_ENTRY_REPORT_ENCODE_H

#include "wisteriavane/peers.h"
#include "wisteriavane/quota_pool.h"
#include "wisteriavane/registry.h"

/** Version of the datagrams; reports of another version are rejected. */
#define REPORT_VERSION 1
/** Largest datagram, bytes; the list of all hubs takes most of it. */
#define REPORT_MAX_BYTES 8192
/** Hints about leaving searchers in a report. */
#define REPORT_MAX_HINTS 16

/** Hints about leaving searchers, newest first. Strings are borrowed. */
struct report_hints {
	struct wv_leaving_hint items[REPORT_MAX_HINTS];
	size_t n;
};

/** What a report to a hub says of quotas. */
struct report_quota {
	struct wv_quota_item items[WV_QUOTA_MAX_ITEMS];
	size_t n;
	bool echo; /**< name the receiver's last report, also without items */
};

/**
 * Encodes a report to one VM. The hints are left out of one that would be too
 * large with them, as are those with a very long identifier; then the quotas.
 *
 * @param hubs  VmState: those of this VM's view; NULL: not known
 * @return its length, or 0 if it is too large
 */
size_t report_encode(const struct wv_peer_report *own,
    const struct wv_peer_target *target, const GPtrArray *hubs,
    const struct report_hints *hints, const struct report_quota *quota,
    uint8_t buffer[REPORT_MAX_BYTES]);

#endif
