/**
 * @file
 * The public interface of libwisteriavane.
 *
 * The library makes decisions but performs no I/O. Functions take the current
 * time as an argument and report actions through small vtables; the library
 * reads no clock, opens no socket and starts no thread. Objects are not
 * thread-safe unless documented otherwise.
 */
#ifndef WISTERIAVANE_WISTERIAVANE_H
#define WISTERIAVANE_WISTERIAVANE_H

#include "wisteriavane/types.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/status.h"
#include "wisteriavane/counters.h"
#include "wisteriavane/contract.h"
#include "wisteriavane/topology.h"
#include "wisteriavane/replica.h"
#include "wisteriavane/admission.h"
#include "wisteriavane/limits.h"
#include "wisteriavane/budget.h"
#include "wisteriavane/executor.h"
#include "wisteriavane/job.h"
#include "wisteriavane/members.h"
#include "wisteriavane/lease.h"
#include "wisteriavane/rendezvous.h"
#include "wisteriavane/roster.h"
#include "wisteriavane/drain.h"
#include "wisteriavane/sync.h"
#include "wisteriavane/settings.h"

#endif
