/**
 * @file
 * How long ago the newest version of the routes that this VM knows was
 * confirmed: by the store, or by another VM that had confirmed its own.
 */
#ifndef WISTERIAVANE_CONFIRMATION_H
#define WISTERIAVANE_CONFIRMATION_H

#include "wisteriavane/types.h"

/** A confirmation. Initialize it with wv_confirmation_reset(). */
struct wv_confirmation {
	wv_msec at; /**< the version was the newest one then */
};

/** Sets it to never confirmed. */
void wv_confirmation_reset(struct wv_confirmation *confirmation);

/**
 * Records that the store has returned its newest version, which this VM has.
 *
 * @param asked_at  when the store was asked; a version that it has accepted
 *                  since then may be missing
 */
void wv_confirmation_by_store(
    struct wv_confirmation *confirmation, wv_msec asked_at);

/**
 * Records another VM's confirmation. It counts only if this VM has the same
 * version or a newer one.
 *
 * @param own    version of this VM; 0: none
 * @param other  version of the other VM; 0: none
 * @param age    of its confirmation, ms; below 0: not known
 */
void wv_confirmation_by_vm(struct wv_confirmation *confirmation, wv_msec now,
    uint64_t own, uint64_t other, wv_msec age);

/** Returns the age of the confirmation, ms; WV_MSEC_NEVER: never confirmed. */
wv_msec wv_confirmation_age(
    const struct wv_confirmation *confirmation, wv_msec now);

#endif
