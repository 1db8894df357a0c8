/**
 * @file
 * Stand-in for the platform's store.
 */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "review/harness/harness.h"

struct store *store_create(struct harness *harness);

/** Opens a further address of the store. */
struct door *store_open(struct store *store);

#endif
