/**
 * @file
 * Check that a VM sends nothing more to a searcher that has told it in an
 * answer that it is leaving.
 */
#include <string.h>

#include "entry/platform_adapter.h"
#include "soak/leaving.h"

/** Size of a buffer for the identifier of a request, bytes with the NUL. */
#define ID_SIZE 64

/* What a VM's process knows. */
struct told {
	unsigned process; /* vm->starts of it; 0: no process was told */
	wv_msec at; /* monotonic, ms */
};

struct leaving {
	struct soak *soak;
	struct vms *vms;
	unsigned searcher;
	wv_msec bound;
	bool active;
	struct told told[VMS_MAX];
	GHashTable *requests; /* connection to the id of its last request */
};

/*
 * Copies the value of a field of a head, "" if it has none. The head begins
 * with another line.
 */
static void
read_field(const char *head, const char *name, char value[ID_SIZE])
{
	char *start = g_strdup_printf("\r\n%s: ", name);
	const char *found = strstr(head, start);

	value[0] = '\0';
	if (found != NULL) {
		found += strlen(start);
		g_strlcpy(value, found,
		    MIN((size_t)ID_SIZE, strcspn(found, "\r") + 1));
	}
	g_free(start);
}

/* Returns the head with which bytes begin; the caller owns it. */
static char *
copy_head(struct wv_string bytes)
{
	char *head = g_strndup(bytes.data, bytes.length);
	char *end = strstr(head, "\r\n\r\n");

	if (end != NULL)
		end[2] = '\0';
	return head;
}

static void
check_request(struct leaving *leaving, const char *id)
{
	struct vm *vm = vms_find_tagged(leaving->vms, id);
	wv_msec now = soak_now(leaving->soak);
	struct told *told;

	if (vm == NULL || !leaving->active)
		return;
	told = &leaving->told[vm->index];
	/* A VM that was paused may have read the answer only afterwards. */
	if (told->process != vm->starts ||
	    now <= MAX(told->at, vm->resumed_at) + leaving->bound)
		return;
	soak_record_violation(leaving->soak,
	    "searcher %u got request %s %.0f ms after it had told %s that it "
	    "is leaving",
	    leaving->searcher, id, now - told->at, vm->name);
	told->process = 0;
}

/* Notes which process has been told, by the request that was answered. */
static void
note_answer(struct leaving *leaving, const char *id)
{
	struct vm *vm = vms_find_tagged(leaving->vms, id);
	struct told *told;

	if (vm == NULL || vm->paused)
		return;
	told = &leaving->told[vm->index];
	if (told->process == vm->starts)
		return;
	told->process = vm->starts;
	told->at = soak_now(leaving->soak);
}

static void
on_bytes(void *data, const void *connection, bool from_target,
    struct wv_string bytes)
{
	const struct platform_adapter *adapter = platform_get_adapter();
	struct leaving *leaving = data;
	char *head = copy_head(bytes);
	char id[ID_SIZE], says[ID_SIZE];

	read_field(head, adapter->request_id, id);
	read_field(head, adapter->leaving, says);
	if (!from_target && id[0] != '\0') {
		g_hash_table_insert(
		    leaving->requests, (gpointer)connection, g_strdup(id));
		check_request(leaving, id);
	} else if (leaving->active && g_str_has_prefix(head, "HTTP/1.1 ") &&
	    g_str_equal(says, "1") &&
	    g_strcmp0(id, g_hash_table_lookup(leaving->requests, connection)) ==
		0) {
		note_answer(leaving, id);
	}
	g_free(head);
}

struct leaving *
leaving_create(struct soak *soak, struct vms *vms, struct proxy *link,
    unsigned searcher, wv_msec bound)
{
	struct leaving *leaving = g_new0(struct leaving, 1);

	leaving->soak = soak;
	leaving->vms = vms;
	leaving->searcher = searcher;
	leaving->bound = bound;
	leaving->requests = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	proxy_observe(link, on_bytes, leaving);
	return leaving;
}

void
leaving_begin(struct leaving *leaving)
{
	memset(leaving->told, 0, sizeof(leaving->told));
	leaving->active = true;
}

void
leaving_end(struct leaving *leaving)
{
	leaving->active = false;
}
