/**
 * @file
 * Position in the history of the store: era and revision in one number, so that
 * positions compare as (era, revision). The era rises each time that the store
 * comes back from an older copy; revisions are reused then. Without eras, a
 * position is the revision.
 */
#ifndef WISTERIAVANE_STORE_POSITION_H
#define WISTERIAVANE_STORE_POSITION_H

#include <stdint.h>

/** Bits of the revision; the era has the others. */
#define WV_POSITION_REVISION_BITS 48
/** Greatest revision and era; greater ones are cut to these. */
#define WV_POSITION_MAX_REVISION \
	((UINT64_C(1) << WV_POSITION_REVISION_BITS) - 1)
#define WV_POSITION_MAX_ERA ((UINT64_C(1) << (64 - 48)) - 1)

/** Returns the position of a revision in an era. */
static inline uint64_t
wv_position_make(uint64_t era, uint64_t revision)
{
	if (era > WV_POSITION_MAX_ERA)
		era = WV_POSITION_MAX_ERA;
	if (revision > WV_POSITION_MAX_REVISION)
		revision = WV_POSITION_MAX_REVISION;
	return era << WV_POSITION_REVISION_BITS | revision;
}

/** Returns the era of a position. */
static inline uint64_t
wv_position_era(uint64_t position)
{
	return position >> WV_POSITION_REVISION_BITS;
}

/** Returns the revision of a position. */
static inline uint64_t
wv_position_revision(uint64_t position)
{
	return position & WV_POSITION_MAX_REVISION;
}

#endif
