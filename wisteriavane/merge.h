/**
 * @file
 * Top-k merge of the partial answers of a scatter request.
 */
#ifndef WISTERIAVANE_MERGE_H
#define WISTERIAVANE_MERGE_H

#include "wisteriavane/types.h"

/** Size of a record, bytes. A shorter remainder of a part is ignored. */
#define WV_RECORD_SIZE 16

/**
 * Returns the greatest records of all parts.
 *
 * Records are compared as unsigned bytes; duplicates are kept.
 *
 * @param parts  bodies of the parts, in any order; borrowed
 * @param top_k  maximum number of records in the result
 * @return the greatest records, in descending order; owned by the caller
 */
struct wv_string wv_merge_top_k(
    const struct wv_string *parts, size_t n_parts, size_t top_k);

#endif
