/**
 * @file
 * Reloads the settings while the process runs: on SIGHUP, and when the file has
 * changed and was then the same in two checks in a row.
 */
#include <string.h>
#include <sys/stat.h>

#include "entry/reload.h"
#include "entry/socket.h"

/** Interval between checks of the file, ms. */
#define CHECK_INTERVAL 1000
/** Size of the buffer for a text in a log line, bytes with the NUL. */
#define LOG_TEXT_SIZE 200

/* Identifies a version of the file; all zero if the file can't be read. */
struct file_state {
	struct timespec modified;
	ino_t inode;
	off_t size;
};

struct reload {
	struct entry *entry;
	struct event *timer;
	struct file_state loaded; /* when the settings were last read */
	struct file_state last_seen; /* at the last check */
};

static struct file_state
get_file_state(const char *file)
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
states_equal(const struct file_state *a, const struct file_state *b)
{
	return a->modified.tv_sec == b->modified.tv_sec &&
	    a->modified.tv_nsec == b->modified.tv_nsec &&
	    a->inode == b->inode && a->size == b->size;
}

/* Joins lines for the log and cuts them to the buffer; the caller owns it. */
static char *
join_lines(const GPtrArray *lines)
{
	GString *text = g_string_new(NULL);
	char escaped[LOG_TEXT_SIZE];

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
	char *text = join_lines(lines);

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

	reload_mark_read(reload);
	settings = entry_settings_read(entry->settings_file, faults, NULL);
	if (settings != NULL) {
		entry_settings_update(entry->settings, settings, kept);
		entry_update_limits(entry);
		log_reload(entry, cause, true, "needs_restart", kept);
	} else {
		log_reload(entry, cause, false, "faults", faults);
	}
	entry_settings_destroy(settings);
	g_ptr_array_unref(faults);
	g_ptr_array_unref(kept);
}

/* Reloads a changed file only once it is no longer being written. */
static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct reload *reload = data;
	struct file_state state = get_file_state(reload->entry->settings_file);
	struct timeval time = socket_timeval(CHECK_INTERVAL);

	(void)fd;
	(void)what;
	if (!states_equal(&state, &reload->loaded) &&
	    states_equal(&state, &reload->last_seen))
		reload_now(reload, "file");
	reload->last_seen = state;
	event_add(reload->timer, &time);
}

void
reload_by_signal(struct reload *reload)
{
	reload_now(reload, "signal");
}

void
reload_mark_read(struct reload *reload)
{
	reload->loaded = get_file_state(reload->entry->settings_file);
}

struct reload *
reload_create(struct entry *entry)
{
	struct reload *reload = g_new0(struct reload, 1);

	reload->entry = entry;
	reload->timer = event_new(entry->base, -1, 0, on_timer, reload);
	return reload;
}

void
reload_start(struct reload *reload)
{
	struct timeval time = socket_timeval(CHECK_INTERVAL);

	reload->last_seen = reload->loaded;
	event_add(reload->timer, &time);
}

void
reload_destroy(struct reload *reload)
{
	event_free(reload->timer);
	g_free(reload);
}
