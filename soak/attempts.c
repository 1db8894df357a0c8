/**
 * @file
 * Attempts of the VMs at the searchers of the soak, as proxies see them.
 */
#include <string.h>

#include "entry/platform_adapter.h"
#include "soak/attempts.h"

/* An observer and its data. */
struct observer {
	attempts_observer notify;
	void *data;
};

/* The proxy in front of a searcher. */
struct link {
	struct attempts *attempts;
	unsigned searcher;
	GHashTable *requests; /* connection to the id of its last request */
};

struct attempts {
	struct link links[CLUSTER_SEARCHERS];
	GArray *observers; /* of struct observer */
};

/* Copies the value of a field of a head that begins with another line. */
static void
read_field(const char *head, const char *name, char value[ATTEMPT_FIELD_SIZE])
{
	char *start = g_strdup_printf("\r\n%s: ", name);
	const char *found = strstr(head, start);

	value[0] = '\0';
	if (found != NULL) {
		found += strlen(start);
		g_strlcpy(value, found,
		    MIN((size_t)ATTEMPT_FIELD_SIZE, strcspn(found, "\r") + 1));
	}
	g_free(start);
}

void
attempt_read_field(const struct attempt *attempt, const char *name,
    char value[ATTEMPT_FIELD_SIZE])
{
	read_field(attempt->head, name, value);
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
notify(const struct attempts *attempts, const struct attempt *attempt)
{
	for (guint i = 0; i < attempts->observers->len; i++) {
		const struct observer *observer =
		    &g_array_index(attempts->observers, struct observer, i);

		observer->notify(observer->data, attempt);
	}
}

static void
on_bytes(void *data, const void *connection, bool from_target,
    struct wv_string bytes)
{
	struct link *link = data;
	char *head = copy_head(bytes);
	char id[ATTEMPT_FIELD_SIZE];
	struct attempt attempt = {link->searcher, from_target, id, head};

	read_field(head, platform_get_adapter()->request_id, id);
	if (!from_target && id[0] != '\0') {
		g_hash_table_insert(
		    link->requests, (gpointer)connection, g_strdup(id));
		notify(link->attempts, &attempt);
	} else if (from_target && g_str_has_prefix(head, "HTTP/1.1 ") &&
	    g_strcmp0(id, g_hash_table_lookup(link->requests, connection)) ==
		0) {
		notify(link->attempts, &attempt);
	}
	g_free(head);
}

struct attempts *
attempts_create(struct cluster *cluster)
{
	struct attempts *attempts = g_new0(struct attempts, 1);

	attempts->observers =
	    g_array_new(FALSE, FALSE, sizeof(struct observer));
	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++) {
		struct link *link = &attempts->links[i];

		link->attempts = attempts;
		link->searcher = i;
		link->requests =
		    g_hash_table_new_full(NULL, NULL, NULL, g_free);
		proxy_observe(cluster_link(cluster, i), on_bytes, link);
	}
	return attempts;
}

void
attempts_observe(
    struct attempts *attempts, attempts_observer observer, void *data)
{
	struct observer added = {observer, data};

	g_array_append_val(attempts->observers, added);
}
