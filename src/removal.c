/**
 * @file
 * Decides when entries of removed VMs are removed from the store.
 */
#include "src/private.h"
#include "wisteriavane/removal.h"

/**
 * Time for which a VM must stay silent after it was added, ms. With the
 * retention in the table of VMs this makes ten minutes, longer than a freeze or
 * a cut of the network that a VM outlasts usually takes.
 */
#define MIN_SILENCE (8 * 60000.0)
/**
 * Questions that must stay unanswered, and the time between two to one VM, ms:
 * datagrams get lost, and losses come in bursts.
 */
#define MIN_QUESTIONS 5
#define QUESTION_INTERVAL 60000.0
/** Time for the answer to the last question, ms. */
#define ANSWER_TIME 10000.0
/** VMs that are asked in turn, and questions in a round: they cost datagrams.
 */
#define MAX_ASKED 60
#define MAX_ROUND_QUESTIONS 4
/** Time between two calls that write, ms; each write has a price. */
#define CALL_INTERVAL 10000.0
/**
 * Longest time between them after failures, ms; it doubles with each. Refused
 * calls have their price too.
 */
#define MAX_CALL_INTERVAL (10 * 60000.0)
/** Time between two lists, ms; a list has a price and grows with the entries.
 */
#define LIST_INTERVAL (10 * 60000.0)
/**
 * Time after which a call that got no answer has taken effect or never will,
 * ms: the store may execute it seconds later.
 */
#define LATE_EFFECT_TIME 60000.0
/** Time for which a removed entry can be written again, ms. */
#define REMOVED_MEMORY (60 * 60000.0)
/**
 * Time between two questions to a VM whose entry was removed, ms. A VM that
 * only this one can't reach does not notice that its entry is gone.
 */
#define REMOVED_QUESTION_INTERVAL (10 * 60000.0)
/** Rounds further apart than this show that the process was paused, ms. */
#define MAX_ROUND_GAP 2000.0
/** VMs remembered: names in reports are not authenticated. */
#define MAX_VMS 16384

/* A VM that was silent. */
struct silent_vm {
	struct wv_string name; /* owned */
	struct wv_string address; /* owned */
	struct wv_string zone; /* owned */
	double capacity;
	bool queued; /* its entry may have to be removed */
	wv_msec silent_since; /* when it was added */
	unsigned questions; /* asked in a row without an answer */
	wv_msec asked_at; /* last question; -WV_MSEC_NEVER: none */
	uint64_t revision; /* of the entry; 0: not listed */
	bool listed; /* in the list that is being read */
	bool removing; /* a removal may have taken effect or may later */
	bool removed; /* it has taken effect */
	wv_msec removing_at; /* start of the last removal */
	wv_msec restore_at; /* when to write the entry; WV_MSEC_NEVER: no */
};

struct wv_removal {
	GHashTable *vms; /* struct silent_vm by name; owned */
	GQueue queue; /* queued ones, oldest first; borrowed */
	bool permitted;
	wv_msec round_at; /* last round */
	wv_msec next_write_at;
	wv_msec call_interval; /* from a failed call to the next one */
	wv_msec next_list_at;
	enum wv_removal_kind call; /* in progress */
	struct silent_vm *target; /* of that call; NULL: none */
	bool was_removing; /* target->removing before that call */
	wv_msec list_began_at;
};

static void
silent_vm_destroy(gpointer data)
{
	struct silent_vm *vm = data;

	wv_string_clear(&vm->name);
	wv_string_clear(&vm->address);
	wv_string_clear(&vm->zone);
	g_free(vm);
}

struct wv_removal *
wv_removal_create(void)
{
	struct wv_removal *removal = g_new0(struct wv_removal, 1);

	removal->vms = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, silent_vm_destroy);
	g_queue_init(&removal->queue);
	removal->round_at = -WV_MSEC_NEVER;
	removal->next_write_at = -WV_MSEC_NEVER;
	removal->call_interval = CALL_INTERVAL;
	removal->next_list_at = -WV_MSEC_NEVER;
	return removal;
}

void
wv_removal_destroy(struct wv_removal *removal)
{
	g_queue_clear(&removal->queue);
	g_hash_table_unref(removal->vms);
	g_free(removal);
}

static void
copy_address(struct silent_vm *vm, const struct wv_peer_address *from)
{
	wv_string_clear(&vm->address);
	wv_string_clear(&vm->zone);
	vm->address = wv_string_copy(from->address);
	vm->zone = wv_string_copy(from->zone);
	vm->capacity = from->capacity;
}

static void
forget_questions(struct silent_vm *vm)
{
	vm->questions = 0;
	vm->asked_at = -WV_MSEC_NEVER;
	vm->revision = 0;
}

/* Puts a VM at the end of the queue; its silence begins now. */
static void
enqueue(struct wv_removal *removal, wv_msec now, struct silent_vm *vm)
{
	if (vm->queued)
		g_queue_remove(&removal->queue, vm);
	vm->queued = true;
	vm->silent_since = now;
	forget_questions(vm);
	g_queue_push_tail(&removal->queue, vm);
}

static void
dequeue(struct wv_removal *removal, struct silent_vm *vm)
{
	if (vm->queued)
		g_queue_remove(&removal->queue, vm);
	vm->queued = false;
}

/* Frees a VM of which nothing has to be remembered. */
static void
drop_if_unused(struct wv_removal *removal, struct silent_vm *vm)
{
	if (!vm->queued && !vm->removing && removal->target != vm)
		g_hash_table_remove(removal->vms, &vm->name);
}

void
wv_removal_add(
    struct wv_removal *removal, wv_msec now, const struct wv_peer_address *vm)
{
	struct silent_vm *silent = g_hash_table_lookup(removal->vms, &vm->name);

	if (silent != NULL && silent->queued)
		return;
	if (silent == NULL) {
		if (g_hash_table_size(removal->vms) >= MAX_VMS)
			return;
		silent = g_new0(struct silent_vm, 1);
		silent->name = wv_string_copy(vm->name);
		silent->restore_at = WV_MSEC_NEVER;
		g_hash_table_insert(removal->vms, &silent->name, silent);
	}
	copy_address(silent, vm);
	enqueue(removal, now, silent);
}

void
wv_removal_hear(
    struct wv_removal *removal, wv_msec now, const struct wv_peer_address *vm)
{
	struct silent_vm *silent = g_hash_table_lookup(removal->vms, &vm->name);

	if (silent == NULL)
		return;
	dequeue(removal, silent);
	if (silent->removing) {
		/* The call in progress has borrowed the address. */
		if (removal->target != silent)
			copy_address(silent, vm);
		silent->restore_at = MIN(silent->restore_at,
		    silent->removed ? now
				    : silent->removing_at + LATE_EFFECT_TIME);
	}
	drop_if_unused(removal, silent);
}

/* Whether VMs are remembered that are not in the queue. */
static bool
has_removed(const struct wv_removal *removal)
{
	return g_hash_table_size(removal->vms) > removal->queue.length;
}

/* Whether a VM was removed so long ago that it is forgotten. */
static gboolean
is_outdated(gpointer key, gpointer value, gpointer data)
{
	const struct silent_vm *vm = value;

	(void)key;
	return !vm->queued && vm->restore_at == WV_MSEC_NEVER &&
	    *(const wv_msec *)data - vm->removing_at > REMOVED_MEMORY;
}

void
wv_removal_set_permitted(
    struct wv_removal *removal, wv_msec now, bool permitted)
{
	bool interrupted = removal->permitted &&
	    (!permitted || now - removal->round_at > MAX_ROUND_GAP);

	removal->round_at = now;
	removal->permitted = permitted;
	if (has_removed(removal))
		g_hash_table_foreach_remove(removal->vms, is_outdated, &now);
	if (!interrupted)
		return;
	for (GList *item = removal->queue.head; item != NULL; item = item->next)
		forget_questions(item->data);
}

/* Asks a VM unless it was asked less than an interval ago. */
static void
ask(struct silent_vm *vm, wv_msec now, wv_msec interval, GPtrArray *addresses)
{
	if (addresses->len >= MAX_ROUND_QUESTIONS ||
	    now - vm->asked_at < interval)
		return;
	vm->asked_at = now;
	vm->questions++;
	g_ptr_array_add(addresses, vm->address.data);
}

static void
ask_removed(const struct wv_removal *removal, wv_msec now, GPtrArray *addresses)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, removal->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((struct silent_vm *)value)->queued)
			ask(value, now, REMOVED_QUESTION_INTERVAL, addresses);
	}
}

void
wv_removal_collect_questions(
    struct wv_removal *removal, wv_msec now, GPtrArray *addresses)
{
	GList *item = removal->queue.head;

	g_ptr_array_set_size(addresses, 0);
	if (!removal->permitted)
		return;
	for (guint i = 0; i < MAX_ASKED && item != NULL; i++) {
		ask(item->data, now, QUESTION_INTERVAL, addresses);
		item = item->next;
	}
	if (has_removed(removal))
		ask_removed(removal, now, addresses);
}

static bool
is_removable(const struct silent_vm *vm, wv_msec now)
{
	return vm->questions >= MIN_QUESTIONS &&
	    now - vm->asked_at >= ANSWER_TIME &&
	    now - vm->silent_since >= MIN_SILENCE;
}

/* Returns a VM whose entry is to be written again now, or NULL. */
static struct silent_vm *
find_restorable(const struct wv_removal *removal, wv_msec now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, removal->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct silent_vm *)value)->restore_at <= now)
			return value;
	}
	return NULL;
}

/*
 * Returns the first VM whose entry is to be removed now, or NULL.
 *
 * unlisted: set to whether there is one whose revision is not known
 */
static struct silent_vm *
find_removable(const struct wv_removal *removal, wv_msec now, bool *unlisted)
{
	GList *item = removal->queue.head;

	*unlisted = false;
	for (guint i = 0; i < MAX_ASKED && item != NULL; i++) {
		struct silent_vm *vm = item->data;

		item = item->next;
		if (!is_removable(vm, now))
			continue;
		if (vm->revision != 0)
			return vm;
		*unlisted = true;
	}
	return NULL;
}

static void
begin_removal(struct wv_removal *removal, wv_msec now, struct silent_vm *vm)
{
	removal->was_removing = vm->removing;
	vm->removing = true;
	vm->removed = false;
	vm->removing_at = now;
}

static void
begin_list(struct wv_removal *removal, wv_msec now)
{
	removal->call = WV_REMOVAL_LIST;
	removal->list_began_at = now;
	removal->next_list_at = now + LIST_INTERVAL;
	for (GList *item = removal->queue.head; item != NULL; item = item->next)
		((struct silent_vm *)item->data)->listed = false;
}

static void
choose_call(struct wv_removal *removal, wv_msec now)
{
	bool unlisted;

	removal->target = find_restorable(removal, now);
	if (removal->target != NULL) {
		removal->call = WV_REMOVAL_RESTORE;
		return;
	}
	if (!removal->permitted)
		return;
	removal->target = find_removable(removal, now, &unlisted);
	if (removal->target != NULL) {
		removal->call = WV_REMOVAL_REMOVE;
		begin_removal(removal, now, removal->target);
	} else if (unlisted && now >= removal->next_list_at) {
		begin_list(removal, now);
	}
}

struct wv_removal_call
wv_removal_next_call(struct wv_removal *removal, wv_msec now, bool store_works)
{
	struct wv_removal_call call = {.kind = WV_REMOVAL_NONE};

	if (removal->call != WV_REMOVAL_NONE || !store_works ||
	    now < removal->next_write_at)
		return call;
	choose_call(removal, now);
	call.kind = removal->call;
	if (removal->target == NULL)
		return call;
	removal->next_write_at = now + CALL_INTERVAL;
	call.revision = removal->target->revision;
	call.vm = (struct wv_peer_address){
	    .name = removal->target->name,
	    .address = removal->target->address,
	    .zone = removal->target->zone,
	    .capacity = removal->target->capacity,
	};
	return call;
}

bool
wv_removal_apply_listed(
    struct wv_removal *removal, struct wv_string name, uint64_t revision)
{
	struct silent_vm *vm = g_hash_table_lookup(removal->vms, &name);

	if (vm == NULL)
		return false;
	vm->revision = revision;
	vm->listed = true;
	return true;
}

void
wv_removal_forget_revisions(struct wv_removal *removal)
{
	for (GList *item = removal->queue.head; item != NULL; item = item->next)
		((struct silent_vm *)item->data)->revision = 0;
	removal->next_list_at = -WV_MSEC_NEVER;
}

/* Forgets the VMs that the list does not have. */
static void
end_list(struct wv_removal *removal)
{
	GList *item = removal->queue.head;

	while (item != NULL) {
		struct silent_vm *vm = item->data;

		item = item->next;
		if (vm->listed || vm->silent_since > removal->list_began_at)
			continue;
		dequeue(removal, vm);
		drop_if_unused(removal, vm);
	}
}

static void
end_removal(struct wv_removal *removal, wv_msec now, struct silent_vm *vm,
    enum wv_removal_result result)
{
	if (result == WV_REMOVAL_DONE || result == WV_REMOVAL_ABSENT) {
		dequeue(removal, vm);
		vm->removed = true;
		return;
	}
	if (result == WV_REMOVAL_UNKNOWN)
		return;
	/* An earlier one can't take effect either once the entry differs. */
	vm->removing = result == WV_REMOVAL_REFUSED && removal->was_removing;
	if (!vm->removing)
		vm->restore_at = WV_MSEC_NEVER;
	if (result == WV_REMOVAL_CHANGED && vm->queued)
		enqueue(removal, now, vm);
}

/* Sets when the next call may begin, depending on the outcome of the last. */
static void
schedule_call(
    struct wv_removal *removal, wv_msec now, enum wv_removal_result result)
{
	if (result != WV_REMOVAL_REFUSED && result != WV_REMOVAL_UNKNOWN) {
		removal->call_interval = CALL_INTERVAL;
		return;
	}
	removal->call_interval =
	    MIN(removal->call_interval * 2, MAX_CALL_INTERVAL);
	removal->next_write_at = now + removal->call_interval;
}

void
wv_removal_end_call(
    struct wv_removal *removal, wv_msec now, enum wv_removal_result result)
{
	enum wv_removal_kind call = removal->call;
	struct silent_vm *vm = removal->target;

	removal->call = WV_REMOVAL_NONE;
	removal->target = NULL;
	schedule_call(removal, now, result);
	if (call == WV_REMOVAL_LIST && result == WV_REMOVAL_DONE)
		end_list(removal);
	if (vm == NULL)
		return;
	if (call == WV_REMOVAL_REMOVE) {
		end_removal(removal, now, vm, result);
	} else if (result == WV_REMOVAL_DONE) {
		vm->removing = false;
		vm->removed = false;
		vm->restore_at = WV_MSEC_NEVER;
	}
	drop_if_unused(removal, vm);
}

size_t
wv_removal_count(const struct wv_removal *removal)
{
	return removal->queue.length;
}
