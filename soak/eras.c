/**
 * @file
 * Eras of the soak's store: it comes back from an older copy.
 */
#include "soak/action.h"
#include "soak/eras.h"

/** Time between two copies of the store, ms. */
#define COPY_INTERVAL 2500.0
/** Time after which the operator writes the routes again, ms. */
#define ROUTES_DELAY 100.0
/** Time in which all searchers write their entries again, ms. */
#define ENTRIES_TIME 2000.0
/** Grace period of the VMs, in which they know what was lost, ms. */
#define GRACE 5000.0

struct eras {
	struct soak *soak;
	struct cluster *cluster;
};

static void
take_copy(struct action *action)
{
	struct eras *eras = action->owner;

	standin_store_take_copy(cluster_store(eras->cluster));
	action_repeat(action, COPY_INTERVAL);
}

static void
write_routes(struct action *action)
{
	struct eras *eras = action->owner;

	cluster_write_routes_again(eras->cluster);
	action_destroy(action);
}

static void
write_searcher(struct action *action)
{
	struct eras *eras = action->owner;

	cluster_write_searcher_again(eras->cluster, action->index);
	action_destroy(action);
}

struct eras *
eras_create(struct soak *soak, struct cluster *cluster)
{
	struct eras *eras = g_new0(struct eras, 1);

	eras->soak = soak;
	eras->cluster = cluster;
	action_schedule(soak, 0, eras, take_copy);
	return eras;
}

void
eras_destroy(struct eras *eras)
{
	g_free(eras);
}

void
eras_begin(struct eras *eras)
{
	soak_record_fault(
	    eras->soak, "the store comes back from an older copy");
	standin_store_go_back(cluster_store(eras->cluster));
	cluster_mark_store_affected(eras->cluster, GRACE);
	action_schedule(eras->soak, ROUTES_DELAY, eras, write_routes);
	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++)
		action_schedule(eras->soak,
		    ENTRIES_TIME * (i + 1) / CLUSTER_SEARCHERS, eras,
		    write_searcher)
		    ->index = i;
}
