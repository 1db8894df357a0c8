/**
 * @file
 * A run of the fault soak: its event loop, time, random numbers and records.
 *
 * The soak runs entry VMs as real processes, injects faults into them and their
 * connections from outside, and checks what callers and searchers see. It runs
 * on one thread. The parts of a run are created in soak/main.c; those without
 * a destroy function live, like the run, as long as the process.
 */
#ifndef WISTERIAVANE_SOAK_SOAK_H
#define WISTERIAVANE_SOAK_SOAK_H

#include <event2/event.h>
#include <glib.h>

#include "wisteriavane/types.h"

/** Time after a fault during which requests may still fail, ms. */
#define SOAK_RECOVERY_TIME 1500.0

struct soak;

/** Creates a run; its random numbers are drawn from the seed. */
struct soak *soak_create(uint32_t seed);

/** Frees a run without actions, for tests; removes its directory if empty. */
void soak_destroy(struct soak *soak);

uint32_t soak_seed(const struct soak *soak);

/** Returns the loopback address of the run. Borrowed. */
const char *soak_ip(const struct soak *soak);

/** Returns the directory of settings and logs. Borrowed. */
const char *soak_directory(const struct soak *soak);

/** Returns the event loop. Borrowed. */
struct event_base *soak_base(const struct soak *soak);

/** Returns the monotonic time, ms. */
wv_msec soak_now(struct soak *soak);

/** Returns the monotonic time at which the run was created, ms. */
wv_msec soak_started_at(const struct soak *soak);

/** Sets the monotonic time after which no fault begins, ms; 0: none does. */
void soak_set_faults_end(struct soak *soak, wv_msec at);
wv_msec soak_faults_end(const struct soak *soak);

/** Returns whether faults may begin now. */
bool soak_draws_faults(struct soak *soak);

/** Returns a random number below n. */
unsigned soak_random_below(struct soak *soak, unsigned n);

/** Returns a random number of whole milliseconds, at least min, below max. */
wv_msec soak_random_ms(struct soak *soak, int min, int max);

/** Returns a random number from a range. */
double soak_random_between(struct soak *soak, double min, double max);

/** Records a violation of a guarantee; any of them fails the run. */
void soak_record_violation(struct soak *soak, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** Records an injected fault for the report. */
void soak_record_fault(struct soak *soak, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

unsigned soak_count_violations(const struct soak *soak);

/** Returns the first violations and the faults, one per line. Borrowed. */
const char *soak_violations(const struct soak *soak);
const char *soak_faults(const struct soak *soak);

#endif
