/**
 * @file
 * HTML report of a soak: latency and coverage over time, with the faults
 * marked.
 */
#ifndef WISTERIAVANE_SOAK_REPORT_H
#define WISTERIAVANE_SOAK_REPORT_H

#include "soak/callers.h"

/** Writes the report of a run to a file. */
void report_write(const struct soak *soak,
    const struct callers_outcome *outcome, const char *file);

#endif
