/**
 * @file
 * Takes changed settings while the process runs: on SIGHUP, and when the file
 * has changed and then stayed the same for one look.
 */
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "entry/entry.h"
#include "entry/socket.h"

/** Time between looks at the file, ms. */
#define LOOK 1000
/** Longest fault or list of fields in a line of the log, bytes. */
#define TEXT_MOST 200

/* What tells one state of the file from another; zero if there is none. */
struct file_state {
	struct timespec modified;
	ino_t inode;
	off_t size;
};

struct reload {
	struct entry *entry;
	struct event *signal;
	struct event *timer;
	struct file_state read; /* when the settings were read */
	struct file_state seen; /* at the last look */
};

static struct file_state
look_at(const char *file)
{
	struct file_state state;
	struct stat status;

	memset(&state, 0, sizeof(state));
	if (stat(file, &status) != 0)
		return state;
	state.modified = status.st_mtim;
	state.inode = status.st_ino;
	state.size = status.st_size;
	return state;
}

static bool
is_same(const struct file_state *a, const struct file_state *b)
{
	return a->modified.tv_sec == b->modified.tv_sec &&
	    a->modified.tv_nsec == b->modified.tv_nsec &&
	    a->inode == b->inode && a->size == b->size;
}

/* Joins lines for the log; what is too long is cut. */
static char *
join(const GPtrArray *lines)
{
	GString *text = g_string_new(NULL);
	char escaped[TEXT_MOST];

	for (guint i = 0; i < lines->len; i++)
		g_string_append_printf(text, "%s%s", i > 0 ? "; " : "",
		    (const char *)lines->pdata[i]);
	log_escape(
	    (struct wv_string){text->str, text->len}, escaped, sizeof(escaped));
	g_string_free(text, TRUE);
	return g_strdup(escaped);
}

static void
log_reload(const struct entry *entry, const char *cause, bool accepted,
    const char *name, const GPtrArray *lines)
{
	char *text = join(lines);

	log_line(entry->log, LOG_CHANGE, "settings_reloaded",
	    "\"accepted\":%s,\"cause\":\"%s\",\"%s\":\"%s\"",
	    accepted ? "true" : "false", cause, name, text);
	g_free(text);
}

static void
reload_now(struct reload *reload, const char *cause)
{
	struct entry *entry = reload->entry;
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *kept = g_ptr_array_new();
	struct entry_settings *settings;

	/* A change after this look is seen by the next one. */
	reload->read = look_at(entry->settings_file);
	settings = entry_settings_read(entry->settings_file, faults);
	if (settings != NULL) {
		entry_settings_update(entry->settings, settings, kept);
		entry_set_terms(entry);
		log_reload(entry, cause, true, "needs_restart", kept);
	} else {
		log_reload(entry, cause, false, "faults", faults);
	}
	entry_settings_destroy(settings);
	g_ptr_array_unref(faults);
	g_ptr_array_unref(kept);
}

static void
on_signal(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	reload_now(data, "signal");
}

/* A file that is still being written is left alone until it rests. */
static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct reload *reload = data;
	struct file_state state = look_at(reload->entry->settings_file);
	struct timeval time = socket_timeval(LOOK);

	(void)fd;
	(void)what;
	if (!is_same(&state, &reload->read) && is_same(&state, &reload->seen))
		reload_now(reload, "file");
	reload->seen = state;
	event_add(reload->timer, &time);
}

struct reload *
reload_create(struct entry *entry)
{
	struct reload *reload = g_new0(struct reload, 1);
	struct timeval time = socket_timeval(LOOK);

	reload->entry = entry;
	reload->read = look_at(entry->settings_file);
	reload->seen = reload->read;
	reload->signal = evsignal_new(entry->base, SIGHUP, on_signal, reload);
	reload->timer = event_new(entry->base, -1, 0, on_timer, reload);
	event_add(reload->signal, NULL);
	event_add(reload->timer, &time);
	return reload;
}

void
reload_destroy(struct reload *reload)
{
	event_free(reload->signal);
	event_free(reload->timer);
	g_free(reload);
}
