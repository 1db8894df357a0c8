/**
 * @file
 * Age of the confirmation of the routes.
 */
#include <math.h>

#include "wisteriavane/confirmation.h"

void
wv_confirmation_reset(struct wv_confirmation *confirmation)
{
	confirmation->at = -WV_MSEC_NEVER;
}

void
wv_confirmation_by_store(struct wv_confirmation *confirmation, wv_msec asked_at)
{
	confirmation->at = fmax(confirmation->at, asked_at);
}

void
wv_confirmation_by_vm(struct wv_confirmation *confirmation, wv_msec now,
    uint64_t own, uint64_t other, wv_msec age)
{
	if (other > 0 && own >= other && age >= 0)
		confirmation->at = fmax(confirmation->at, now - age);
}

wv_msec
wv_confirmation_age(const struct wv_confirmation *confirmation, wv_msec now)
{
	return confirmation->at <= -WV_MSEC_NEVER ? WV_MSEC_NEVER
						  : now - confirmation->at;
}
