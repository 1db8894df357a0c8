/**
 * @file
 * A run of the fault soak: its event loop, time, random numbers and records.
 */
#include <stdlib.h>
#include <unistd.h>

#include "daemon/system_clock.h"
#include "soak/soak.h"
#include "wisteriavane/clock.h"

/** Maximum number of violations that are shown per run. */
#define MAX_VIOLATIONS_SHOWN 20

struct soak {
	struct event_base *base;
	struct wv_clock clock;
	GRand *random;
	uint32_t seed;
	char ip[16];
	char *dir;
	wv_msec started_at;
	wv_msec faults_end_at;
	GString *violations; /* one per line */
	unsigned n_violations;
	GString *faults; /* one per line */
};

/* Creates an event loop whose timers are accurate to less than 1 ms. */
static struct event_base *
create_event_loop(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

/* Gives each run its own loopback address, so that ports do not collide. */
static void
choose_ip(struct soak *soak)
{
	unsigned pid = (unsigned)getpid();

	g_snprintf(soak->ip, sizeof(soak->ip), "127.%u.%u.%u",
	    1 + pid / 256 % 250, pid % 256, 1 + soak->seed % 250);
}

struct soak *
soak_create(uint32_t seed)
{
	struct soak *soak = g_new0(struct soak, 1);

	soak->seed = seed;
	system_clock_init(&soak->clock);
	soak->dir = g_dir_make_tmp("wisteriavane-soak-XXXXXX", NULL);
	soak->base = create_event_loop();
	soak->random = g_rand_new_with_seed(seed);
	soak->violations = g_string_new(NULL);
	soak->faults = g_string_new(NULL);
	soak->started_at = soak_now(soak);
	choose_ip(soak);
	return soak;
}

void
soak_destroy(struct soak *soak)
{
	rmdir(soak->dir);
	event_base_free(soak->base);
	g_rand_free(soak->random);
	g_string_free(soak->violations, TRUE);
	g_string_free(soak->faults, TRUE);
	g_free(soak->dir);
	g_free(soak);
}

uint32_t
soak_seed(const struct soak *soak)
{
	return soak->seed;
}

const char *
soak_ip(const struct soak *soak)
{
	return soak->ip;
}

const char *
soak_directory(const struct soak *soak)
{
	return soak->dir;
}

struct event_base *
soak_base(const struct soak *soak)
{
	return soak->base;
}

wv_msec
soak_now(struct soak *soak)
{
	return wv_clock_now(&soak->clock);
}

wv_msec
soak_started_at(const struct soak *soak)
{
	return soak->started_at;
}

void
soak_set_faults_end(struct soak *soak, wv_msec at)
{
	soak->faults_end_at = at;
}

wv_msec
soak_faults_end(const struct soak *soak)
{
	return soak->faults_end_at;
}

bool
soak_draws_faults(struct soak *soak)
{
	return soak_now(soak) < soak->faults_end_at;
}

unsigned
soak_random_below(struct soak *soak, unsigned n)
{
	return (unsigned)g_rand_int_range(soak->random, 0, (gint32)n);
}

wv_msec
soak_random_ms(struct soak *soak, int min, int max)
{
	return g_rand_int_range(soak->random, min, max);
}

double
soak_random_between(struct soak *soak, double min, double max)
{
	return g_rand_double_range(soak->random, min, max);
}

static void
append_line(struct soak *soak, GString *out, const char *format, va_list args)
{
	g_string_append_printf(
	    out, "%.0f ms: ", soak_now(soak) - soak->started_at);
	g_string_append_vprintf(out, format, args);
	g_string_append_c(out, '\n');
}

void
soak_record_violation(struct soak *soak, const char *format, ...)
{
	va_list args;

	if (soak->n_violations++ >= MAX_VIOLATIONS_SHOWN)
		return;
	va_start(args, format);
	append_line(soak, soak->violations, format, args);
	va_end(args);
}

void
soak_record_fault(struct soak *soak, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	append_line(soak, soak->faults, format, args);
	va_end(args);
}

unsigned
soak_count_violations(const struct soak *soak)
{
	return soak->n_violations;
}

const char *
soak_violations(const struct soak *soak)
{
	return soak->violations->str;
}

const char *
soak_faults(const struct soak *soak)
{
	return soak->faults->str;
}
