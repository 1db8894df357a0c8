/**
 * @file
 * TCP connections between VMs.
 */
#include <sys/socket.h>

#include <apr_portable.h>
#include <arpa/inet.h>
#include <urcu.h>

#include "daemon/control.h"
#include "daemon/links_private.h"
#include "http/address.h"

/** Maximum number of connections that this VM opens. */
#define MAX_OPENED_LINKS 1024
/** Maximum poll timeout of the thread, ms. */
#define MAX_SLEEP_MS 100
/** Maximum poll timeout while any request is forwarded or parked, ms. */
#define MAX_SLEEP_PENDING_MS 5
/** Maximum time for establishing a connection, ms. */
#define CONNECT_TIMEOUT_MS 1000.0
/**
 * Maximum time from accepting a connection to the end of the first frame, ms. A
 * VM connects when it has a frame to send, so this is the time to transfer the
 * longest frame.
 */
#define IDENTIFY_TIMEOUT_MS 5000.0
/** Maximum unsent bytes of a link; a link that exceeds them is closed. */
#define MAX_UNSENT_BYTES (8u << 20)
/**
 * Time for which no connection is accepted after one could not be, ms. The
 * connection stays pending, so that polling for it would keep a core busy.
 */
#define ACCEPT_PAUSE_MS 100.0
/** Size of the receive buffer, bytes. */
#define READ_BUFFER_SIZE 65536
/** Size of the buffer for a reason in a log line, bytes with the NUL. */
#define REASON_SIZE 100

static void
wake_up(void *owner)
{
	apr_pollset_wakeup(((struct links *)owner)->pollset);
}

/* Polls for writability only while there is something to write. */
static void
update_poll_events(struct link *link)
{
	apr_int16_t events = APR_POLLIN;

	if (link->connecting || link->out->len > link->written)
		events |= APR_POLLOUT;
	if (link->poll.reqevents == events)
		return;
	apr_pollset_remove(link->links->pollset, &link->poll);
	link->poll.reqevents = events;
	apr_pollset_add(link->links->pollset, &link->poll);
}

static struct link *
link_create(struct links *links, apr_pool_t *pool, apr_socket_t *socket)
{
	struct link *link = g_new0(struct link, 1);

	link->links = links;
	link->id = ++links->next_id;
	link->pool = pool;
	link->socket = socket;
	link->opened = daemon_now(links->daemon);
	link->out = g_byte_array_new();
	link->decoder = wv_frame_decoder_create(
	    links->daemon->settings->deployment, &links->frames);
	link->poll.p = pool;
	link->poll.desc_type = APR_POLL_SOCKET;
	link->poll.desc.s = socket;
	link->poll.client_data = link;
	link->poll.reqevents = APR_POLLIN;
	apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(socket, 0);
	apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
	/* A server may need the local port while it is in TIME_WAIT. */
	apr_socket_opt_set(socket, APR_SO_REUSEADDR, 1);
	apr_pollset_add(links->pollset, &link->poll);
	g_hash_table_insert(links->by_id, &link->id, link);
	return link;
}

static void
link_close(struct link *link)
{
	struct links *links = link->links;
	bool sent = !link->connecting;
	uint64_t id = link->id;

	apr_pollset_remove(links->pollset, &link->poll);
	apr_socket_close(link->socket);
	g_hash_table_remove(links->by_id, &link->id);
	if (link->address.length > 0)
		g_hash_table_remove(links->by_address, link->address.data);
	wv_string_clear(&link->address);
	g_byte_array_unref(link->out);
	wv_frame_decoder_destroy(link->decoder);
	apr_pool_destroy(link->pool);
	g_free(link);
	forwards_link_closed(links, id, sent);
}

/* Parses IPv4:PORT; returns NULL if it is malformed. Allocated in the pool. */
static apr_sockaddr_t *
parse_address(struct wv_string address, apr_pool_t *pool)
{
	struct sockaddr_in in;
	apr_sockaddr_t *out = NULL;
	char ip[INET_ADDRSTRLEN];

	if (!wv_address_parse(address, &in))
		return NULL;
	inet_ntop(AF_INET, &in.sin_addr, ip, sizeof(ip));
	if (apr_sockaddr_info_get(
		&out, ip, APR_INET, ntohs(in.sin_port), 0, pool) != APR_SUCCESS)
		return NULL;
	return out;
}

struct link *
links_open(struct links *links, struct wv_string address)
{
	struct link *link =
	    g_hash_table_lookup(links->by_address, address.data);
	apr_sockaddr_t *target;
	apr_socket_t *socket;
	apr_status_t status;
	apr_pool_t *pool;

	if (link != NULL ||
	    g_hash_table_size(links->by_address) >= MAX_OPENED_LINKS)
		return link;
	apr_pool_create(&pool, NULL);
	target = parse_address(address, pool);
	if (target == NULL ||
	    apr_socket_create(&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
		pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return NULL;
	}
	link = link_create(links, pool, socket);
	link->address = wv_string_copy(address);
	g_hash_table_insert(links->by_address, link->address.data, link);
	status = apr_socket_connect(socket, target);
	link->connecting = status != APR_SUCCESS;
	if (link->connecting && !APR_STATUS_IS_EINPROGRESS(status)) {
		link_close(link);
		return NULL;
	}
	update_poll_events(link);
	return link;
}

/* Sends unsent bytes without blocking; returns false if the link broke. */
static bool
link_flush(struct link *link)
{
	apr_status_t status;
	apr_size_t n;

	while (link->out->len > link->written) {
		n = link->out->len - link->written;
		status = apr_socket_send(
		    link->socket, (char *)link->out->data + link->written, &n);
		link->written += n;
		wv_counter_add(&link->links->daemon->stats.peer_bytes_sent, n);
		if (APR_STATUS_IS_EAGAIN(status))
			break;
		if (status != APR_SUCCESS)
			return false;
	}
	if (link->written == link->out->len) {
		g_byte_array_set_size(link->out, 0);
		link->written = 0;
	}
	update_poll_events(link);
	return true;
}

void
link_write(struct link *link, const GByteArray *bytes)
{
	g_byte_array_append(link->out, bytes->data, bytes->len);
	if (link->out->len - link->written > MAX_UNSENT_BYTES) {
		link_close(link);
		return;
	}
	if (!link->connecting && !link_flush(link))
		link_close(link);
}

GByteArray *
links_encode(struct links *links, const Wisteriavane__Frame *frame)
{
	Wisteriavane__Frame copy = *frame;
	GByteArray *bytes = g_byte_array_new();
	struct wv_status status;

	copy.deployment = links->daemon->settings->deployment.data;
	copy.protocol = WV_FRAME_PROTOCOL_VERSION;
	copy.vm = links->daemon->self.name.data;
	copy.incarnation = links->daemon->self.incarnation;
	if (wv_frame_encode(&copy, bytes, &status) != WV_OK)
		g_warning("frame not sent: %s", status.message);
	return bytes;
}

/* A frame to be sent by the links' thread. */
struct send_task {
	struct mailbox_task task;
	struct wv_string address; /* owned; empty for a reply */
	uint64_t link;
	GByteArray *bytes;
};

static void
on_send(void *owner, struct mailbox_task *task)
{
	struct send_task *self = (struct send_task *)task;
	struct links *links = owner;
	struct link *link;

	if (self->address.length > 0)
		link = links_open(links, self->address);
	else
		link = g_hash_table_lookup(links->by_id, &self->link);
	if (link != NULL && self->bytes->len > 0)
		link_write(link, self->bytes);
	g_byte_array_unref(self->bytes);
	wv_string_clear(&self->address);
	g_free(self);
}

void
links_send(struct links *links, struct wv_string address,
    const Wisteriavane__Frame *frame)
{
	struct send_task *task;

	if (address.length == 0)
		return;
	task = g_new0(struct send_task, 1);
	task->address = wv_string_copy(address);
	task->bytes = links_encode(links, frame);
	mailbox_post(&links->mailbox, &task->task, on_send);
}

void
links_reply(
    struct links *links, uint64_t link, const Wisteriavane__Frame *frame)
{
	struct send_task *task = g_new0(struct send_task, 1);

	task->link = link;
	task->bytes = links_encode(links, frame);
	mailbox_post(&links->mailbox, &task->task, on_send);
}

/* Passes a frame to its handler, which takes ownership. */
static void
dispatch_frame(struct links *links, uint64_t link, Wisteriavane__Frame *frame)
{
	switch (frame->body_case) {
	case WISTERIAVANE__FRAME__BODY_FORWARD:
	case WISTERIAVANE__FRAME__BODY_FORWARDED:
		forwards_handle_frame(links, link, frame);
		wv_frame_destroy(frame);
		break;
	default:
		control_on_frame(links->daemon->control, link, frame);
		break;
	}
}

/* Reads and handles frames; returns false if the link must be closed. */
static bool
link_read(struct link *link)
{
	struct links *links = link->links;
	uint64_t id = link->id;
	Wisteriavane__Frame *frame;
	struct wv_status failure;
	char buffer[READ_BUFFER_SIZE];
	apr_size_t n = sizeof(buffer);
	apr_status_t status = apr_socket_recv(link->socket, buffer, &n);
	enum wv_code code;

	if (APR_STATUS_IS_EAGAIN(status))
		return true;
	if (status != APR_SUCCESS)
		return false;
	wv_counter_add(&links->daemon->stats.peer_bytes_received, n);
	wv_frame_decoder_push(link->decoder, buffer, n);
	for (;;) {
		code = wv_frame_decoder_next(link->decoder, &frame, &failure);
		if (code != WV_OK)
			wv_counter_add(&links->daemon->stats.frames_refused, 1);
		if (code == WV_FRAME_TOO_LARGE || code == WV_FRAME_MALFORMED)
			return false;
		if (code == WV_OK && frame == NULL)
			return true;
		if (code == WV_OK) {
			link->identified = true;
			dispatch_frame(links, id, frame);
		}
	}
}

/* Checks the result of a non-blocking connect; returns false if it failed. */
static bool
link_finish_connect(struct link *link)
{
	apr_os_sock_t fd;
	socklen_t size = sizeof(int);
	int error = 0;

	apr_os_sock_get(&fd, link->socket);
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error != 0)
		return false;
	link->connecting = false;
	return true;
}

static void
link_handle_event(struct link *link, apr_int16_t events)
{
	bool usable = true;

	if (link->connecting)
		usable = link_finish_connect(link);
	if (usable && (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)))
		usable = link_read(link);
	if (usable && (events & APR_POLLOUT))
		usable = link_flush(link);
	if (!usable)
		link_close(link);
}

/* Polls for connections of other VMs. */
static bool
poll_listener(struct links *links)
{
	apr_pollfd_t poll = {0};

	poll.p = links->pool;
	poll.desc_type = APR_POLL_SOCKET;
	poll.reqevents = APR_POLLIN;
	poll.desc.s = links->listener;
	return apr_pollset_add(links->pollset, &poll) == APR_SUCCESS;
}

/* Stops polling for connections for a time, usually for want of descriptors. */
static void
pause_accepting(struct links *links, apr_status_t status)
{
	apr_pollfd_t poll = {0};
	char reason[REASON_SIZE];

	if (APR_STATUS_IS_EAGAIN(status) || APR_STATUS_IS_ECONNABORTED(status))
		return;
	poll.p = links->pool;
	poll.desc_type = APR_POLL_SOCKET;
	poll.desc.s = links->listener;
	apr_pollset_remove(links->pollset, &poll);
	if (!links->accept_failed)
		g_warning("a connection of another VM has to wait: %s",
		    apr_strerror(status, reason, sizeof(reason)));
	links->accept_failed = true;
	links->accept_again = daemon_now(links->daemon) + ACCEPT_PAUSE_MS;
}

static void
resume_accepting(struct links *links, wv_msec now)
{
	if (links->accept_again > 0 && now >= links->accept_again &&
	    poll_listener(links))
		links->accept_again = 0;
}

/* Returns whether a link is one that others opened without naming a VM yet. */
static bool
is_unidentified(const struct link *link)
{
	/* Links with an address are those that this VM opened. */
	return link->address.length == 0 && !link->identified;
}

static struct link *
find_oldest_unidentified(struct links *links)
{
	struct link *oldest = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, links->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct link *link = value;

		if (is_unidentified(link) &&
		    (oldest == NULL || link->id < oldest->id))
			oldest = link;
	}
	return oldest;
}

static void
close_unidentified(struct link *link)
{
	wv_counter_add(&link->links->daemon->stats.links_unidentified, 1);
	link_close(link);
}

/*
 * Makes room for one more link that others open: if their share is full, closes
 * the oldest one on which no VM has named itself. Returns false if VMs have
 * named themselves on all links.
 */
static bool
make_room(struct links *links)
{
	size_t share = links->daemon->shares.peers;
	size_t accepted = g_hash_table_size(links->by_id) -
	    g_hash_table_size(links->by_address);
	bool crowded = accepted >= share;
	struct link *oldest;

	if (crowded && !links->crowded)
		g_warning(
		    "the share of %zu connections of other VMs is full", share);
	links->crowded = crowded;
	if (!crowded)
		return true;
	oldest = find_oldest_unidentified(links);
	if (oldest != NULL)
		close_unidentified(oldest);
	return oldest != NULL;
}

static void
accept_link(struct links *links)
{
	apr_socket_t *socket;
	apr_status_t status;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	status = apr_socket_accept(&socket, links->listener, pool);
	if (status != APR_SUCCESS) {
		apr_pool_destroy(pool);
		pause_accepting(links, status);
		return;
	}
	links->accept_failed = false;
	if (!make_room(links)) {
		apr_socket_close(socket);
		apr_pool_destroy(pool);
		return;
	}
	link_create(links, pool, socket);
}

/* Returns whether a link has not been established in time. */
static bool
has_timed_out(const struct link *link, wv_msec now)
{
	wv_msec age = now - link->opened;

	if (link->connecting)
		return age > CONNECT_TIMEOUT_MS;
	return is_unidentified(link) && age > IDENTIFY_TIMEOUT_MS;
}

/* Closes links whose connect, or whose first frame, has timed out. */
static void
close_timed_out(struct links *links, wv_msec now)
{
	GPtrArray *timed_out = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, links->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (has_timed_out(value, now))
			g_ptr_array_add(timed_out, value);
	}
	for (guint i = 0; i < timed_out->len; i++) {
		struct link *link = timed_out->pdata[i];

		if (link->connecting)
			link_close(link);
		else
			close_unidentified(link);
	}
	g_ptr_array_unref(timed_out);
}

static void
poll_once(struct links *links)
{
	const apr_pollfd_t *events;
	apr_int32_t n = 0;
	bool connected = false;
	int timeout =
	    forwards_has_pending(links) ? MAX_SLEEP_PENDING_MS : MAX_SLEEP_MS;

	if (apr_pollset_poll(links->pollset,
		(apr_interval_time_t)timeout * 1000, &n,
		&events) != APR_SUCCESS)
		return;
	for (apr_int32_t i = 0; i < n; i++) {
		if (events[i].client_data == NULL)
			connected = true;
		else
			link_handle_event(
			    events[i].client_data, events[i].rtnevents);
	}
	/* May close a link, so it comes after the events of all links. */
	if (connected)
		accept_link(links);
}

static void *
links_run(void *data)
{
	struct links *links = data;
	wv_msec now;

	daemon_register_thread();
	while (!atomic_load(&links->stop)) {
		poll_once(links);
		mailbox_run_tasks(&links->mailbox);
		now = daemon_now(links->daemon);
		forwards_tick(links, now);
		close_timed_out(links, now);
		resume_accepting(links, now);
	}
	return NULL;
}

/* Accepts connections of other VMs on a socket; takes it over. */
static bool
add_listener(struct links *links, int listener)
{
	return apr_os_sock_put(&links->listener, &listener, links->pool) ==
	    APR_SUCCESS &&
	    poll_listener(links);
}

struct links *
links_create(struct daemon *daemon, int listener, struct wv_status *status)
{
	struct links *links = g_new0(struct links, 1);

	links->daemon = daemon;
	apr_pool_create(&links->pool, NULL);
	if (apr_pollset_create(&links->pollset,
		MAX_OPENED_LINKS + (apr_uint32_t)daemon->shares.peers + 1,
		links->pool, APR_POLLSET_WAKEABLE) != APR_SUCCESS ||
	    !add_listener(links, listener)) {
		wv_status_set(status, WV_INTERNAL,
		    "no descriptors left for connections of other VMs");
		apr_pool_destroy(links->pool);
		g_free(links);
		return NULL;
	}
	links->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	links->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	wv_frame_counters_init(&links->frames);
	forwards_init(links);
	mailbox_init(&links->mailbox, wake_up, links);
	return links;
}

void
links_start(struct links *links)
{
	links->thread = g_thread_new("links", links_run, links);
}

void
links_stop(struct links *links)
{
	atomic_store(&links->stop, true);
	wake_up(links);
	g_thread_join(links->thread);
}

void
links_destroy(struct links *links)
{
	GHashTableIter iter;
	void *value;

	for (;;) {
		g_hash_table_iter_init(&iter, links->by_id);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			break;
		link_close(value);
	}
	/* link_close() accesses the forwards, so they are cleared last. */
	forwards_clear(links);
	g_hash_table_destroy(links->by_id);
	g_hash_table_destroy(links->by_address);
	apr_socket_close(links->listener);
	apr_pool_destroy(links->pool);
	g_free(links);
}

static void
dump_counter(void *data, const char *name, uint64_t value)
{
	json_object_set_int_member(data, name, (gint64)value);
}

void
links_dump_counters(struct links *links, JsonObject *object)
{
	wv_frame_counters_foreach(&links->frames, dump_counter, object);
}
