/**
 * @file
 * Credit of a VM for requests to a searcher that is cold.
 *
 * A cold searcher may get a number of requests in any second, from all VMs
 * together. Each VM has a whole number of them, its limit, and sends at most so
 * many in any window that is a little longer than a second. The limits of all
 * VMs add up to the number at most, so that it holds without messages between
 * VMs. Where it is no multiple of the number of VMs, those that rank first for
 * the searcher have one more.
 */
#ifndef WISTERIAVANE_COLD_CREDIT_H
#define WISTERIAVANE_COLD_CREDIT_H

#include "wisteriavane/types.h"

/** Length of a step in which requests are counted, ms. */
#define WV_COLD_STEP 50.0
/**
 * Steps of a window: a second, and 150 ms by which requests may arrive closer
 * together than they were sent, as at a searcher that has paused.
 */
#define WV_COLD_STEPS 23

/** What the limits of a VM follow from. */
struct wv_cold_limits {
	double overshoot; /**< factor of a service's rate; 0: no limits */
	double slack; /**< further requests per second and searcher */
	double divisor; /**< this VM has 1/divisor of them, at least 1 */
	unsigned members; /**< VMs with the same divisor, at least 1 */
	wv_msec from; /**< when requests may first be sent, since a previous
			 process of this VM may have sent some just before */
	/** Whether this VM is one of the first n members for a searcher. */
	bool (*ranks_first)(void *data, struct wv_string searcher, unsigned n);
	void *data; /**< passed to it */
};

/** Requests of this VM to one searcher. Zero-initialize it. */
struct wv_cold_credit {
	uint32_t sent[WV_COLD_STEPS + 1]; /**< by step, the newest included */
	uint32_t total; /**< sum of sent */
	int64_t step; /**< number of the newest step */
	bool has_limit; /**< a limit was set */
	unsigned limit; /**< requests in a window */
	unsigned raise_to; /**< greater limit that holds from raise_at on */
	wv_msec raise_at; /**< 0: none */
	uint64_t version; /**< for the embedder: of what limit follows from */
};

/**
 * Returns the limit of this VM for a searcher.
 *
 * @param rate  requests per second that the searcher takes while it is cold
 */
unsigned wv_cold_credit_limit(const struct wv_cold_limits *limits, double rate,
    struct wv_string searcher);

/**
 * Sets the limit. A lower one holds at once, a greater one after a window: the
 * VM whose limit became lower for it may have sent requests just before.
 */
void wv_cold_credit_set_limit(
    struct wv_cold_credit *credit, wv_msec now, unsigned limit);

/** Returns whether a request may be sent now. */
bool wv_cold_credit_is_left(struct wv_cold_credit *credit, wv_msec now);

/**
 * Counts a request. Those to a searcher that is not cold are counted too, since
 * it may turn out that it was cold already.
 */
void wv_cold_credit_count(struct wv_cold_credit *credit, wv_msec now);

/** Takes back the count of a request that has not reached the searcher. */
void wv_cold_credit_refund(
    struct wv_cold_credit *credit, wv_msec now, wv_msec sent_at);

/**
 * Returns when a further request may be sent; now if one may be, and
 * WV_MSEC_NEVER if none may be with this limit.
 */
wv_msec wv_cold_credit_next(struct wv_cold_credit *credit, wv_msec now);

#endif
