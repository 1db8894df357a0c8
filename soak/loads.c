/**
 * @file
 * Load that the searchers of the soak report in their answers.
 */
#include "soak/action.h"
#include "soak/loads.h"

/** Bounds of the random time between two changes, ms. */
#define MIN_INTERVAL 50
#define MAX_INTERVAL 400
/** On average, one in this many changes is to a report that isn't true. */
#define FALSE_EVERY 2

/* Reports that are wrong: always free, always busy, slow, of other slots. */
static const char *const wrong[] = {"0,0,4", "0,0,64,100", "4,64,4",
    "64,64,1,900", "0,0,4,1000000", "1000000,1000000,1"};

/* Reports that must be ignored, the last one since the field is repeated. */
static const char *const malformed[] = {"", "4", "1,2", "1,2,3,4,5", "-1,0,4",
    "1,0,0", "1,0,4,0", "1, 0, 4", "1;0;4", "1.5,0,4", "a,b,c",
    "99999999999999999999,0,4", "1,0,4,1000001",
    ("64,64,1\r\n" STANDIN_LOAD_FIELD ": 0,0,4")};

struct loads {
	struct soak *soak;
	struct cluster *cluster;
};

static void
change_report(struct action *action)
{
	struct loads *loads = action->owner;
	struct soak *soak = loads->soak;
	unsigned searcher = soak_random_below(soak, CLUSTER_SEARCHERS);
	const char *load = STANDIN_LOAD_TRUE;

	if (soak_random_below(soak, FALSE_EVERY) == 0) {
		switch (soak_random_below(soak, 3)) {
		case 0:
			load =
			    wrong[soak_random_below(soak, G_N_ELEMENTS(wrong))];
			break;
		case 1:
			load = malformed[soak_random_below(
			    soak, G_N_ELEMENTS(malformed))];
			break;
		default:
			load = NULL;
			break;
		}
	}
	standin_searchers_set_load(cluster_searchers(loads->cluster),
	    searcher / CLUSTER_REPLICAS, searcher % CLUSTER_REPLICAS, load);
	action_repeat(action, soak_random_ms(soak, MIN_INTERVAL, MAX_INTERVAL));
}

void
loads_create(struct soak *soak, struct cluster *cluster)
{
	struct loads *loads = g_new0(struct loads, 1);

	loads->soak = soak;
	loads->cluster = cluster;
	action_schedule(soak, 0, loads, change_report);
}
