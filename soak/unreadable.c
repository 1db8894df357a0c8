/**
 * @file
 * Entries of the store that can't be read, which must hide no others.
 */
#include "soak/action.h"
#include "soak/unreadable.h"

/** Nesting of an entry that is nested too deeply to be parsed. */
#define DEPTH 100
/** On average, one in this many entries stays until the end of the run. */
#define LASTING_EVERY 2
/** On average, one in this many runs begins beside such entries. */
#define FIRST_EVERY 2
/** Kind of the entries of VMs, which write them themselves. */
#define KIND_VMS "wisteriavane-vms"

/* Why an entry can't be read. */
enum shape {
	SHAPE_DEEP, /* nested too deeply */
	SHAPE_CUT, /* half of its members are missing */
	SHAPE_NAMELESS, /* of another writer, without a name */
	SHAPES /* their number */
};

static const char *const kinds[] = {
    STANDIN_KIND_SEARCHERS, STANDIN_KIND_ROUTES, KIND_VMS};
/* Names that come before, between and after those of the searchers. */
static const char *const names[SHAPES] = {"i-zzz-deep", "i-2-1-cut", ""};

struct unreadable {
	struct soak *soak;
	struct cluster *cluster;
};

static JsonObject *
create_deep(void)
{
	JsonObject *spec = json_object_new();
	JsonArray *array = json_array_new();

	for (unsigned i = 0; i < DEPTH; i++) {
		JsonArray *outer = json_array_new();

		json_array_add_array_element(outer, array);
		array = outer;
	}
	json_object_set_array_member(spec, "zone", array);
	return spec;
}

/* Creates the first half of a searcher's entry. */
static JsonObject *
create_cut(void)
{
	JsonObject *spec = standin_searcher_spec("s0", "127.0.0.1:1", 1, false);
	GList *members = json_object_get_members(spec);

	for (GList *item = g_list_nth(members, g_list_length(members) / 2);
	     item != NULL; item = item->next)
		json_object_remove_member(spec, item->data);
	g_list_free(members);
	return spec;
}

static void
write_entry(struct unreadable *unreadable, unsigned kind, enum shape shape)
{
	standin_store_write(cluster_store(unreadable->cluster), kinds[kind],
	    names[shape], shape == SHAPE_DEEP ? create_deep() : create_cut());
}

struct unreadable *
unreadable_create(struct soak *soak, struct cluster *cluster)
{
	struct unreadable *unreadable = g_new0(struct unreadable, 1);
	unsigned shape = soak_random_below(soak, FIRST_EVERY * SHAPES);

	unreadable->soak = soak;
	unreadable->cluster = cluster;
	if (shape >= SHAPES)
		return unreadable;
	soak_record_fault(
	    soak, "entries \"%s\" of all kinds can't be read", names[shape]);
	for (unsigned kind = 0; kind < G_N_ELEMENTS(kinds); kind++)
		write_entry(unreadable, kind, shape);
	return unreadable;
}

void
unreadable_destroy(struct unreadable *unreadable)
{
	g_free(unreadable);
}

/* Runs once at the end; index is the kind and stage the shape. */
static void
remove_entry(struct action *action)
{
	struct unreadable *unreadable = action->owner;

	standin_store_remove(cluster_store(unreadable->cluster),
	    kinds[action->index], names[action->stage]);
	action_destroy(action);
}

void
unreadable_write(struct unreadable *unreadable, wv_msec duration)
{
	struct soak *soak = unreadable->soak;
	unsigned kind = soak_random_below(soak, G_N_ELEMENTS(kinds));
	enum shape shape = soak_random_below(soak, SHAPES);
	bool lasting = soak_random_below(soak, LASTING_EVERY) == 0;
	struct action *action;

	soak_record_fault(soak,
	    "the entry \"%s\" of the kind %s can't be read%s", names[shape],
	    kinds[kind], lasting ? ", until the end" : "");
	write_entry(unreadable, kind, shape);
	if (lasting)
		return;
	action = action_schedule(soak, duration, unreadable, remove_entry);
	action->index = kind;
	action->stage = shape;
}
