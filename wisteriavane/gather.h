/**
 * @file
 * Merges the answers of several services: the greatest records of all parts.
 */
#ifndef WISTERIAVANE_GATHER_H
#define WISTERIAVANE_GATHER_H

#include "wisteriavane/types.h"

/** Size of one record, in bytes. A shorter rest of a part is no record. */
#define WV_RECORD_SIZE 16

/**
 * Merges parts.
 *
 * Records are compared byte by byte; equal ones are all kept.
 *
 * @param parts  bodies of the parts, in any order; borrowed
 * @param top_k  most records of the result
 * @return the greatest records, greatest first; owned by the caller
 */
struct wv_string wv_gather(
    const struct wv_string *parts, size_t n_parts, size_t top_k);

#endif
