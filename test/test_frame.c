/**
 * @file
 * Tests of the codec of frames between VMs: split streams, limits of size and
 * memory, frames of other deployments and versions, and malformed input, since
 * nothing that a peer sends may be trusted.
 */
#include <string.h>

#include "proto/frame.h"

#define DEPLOYMENT "anadolu"

struct fixture {
	struct wv_frame_counters counters;
	struct wv_frame_decoder *decoder;
	GByteArray *bytes;
	struct wv_status status;
};

static void
fixture_set_up(struct fixture *fixture, gconstpointer data)
{
	(void)data;
	wv_frame_counters_init(&fixture->counters);
	fixture->decoder = wv_frame_decoder_create(
	    wv_string_borrow(DEPLOYMENT), &fixture->counters);
	fixture->bytes = g_byte_array_new();
}

static void
fixture_tear_down(struct fixture *fixture, gconstpointer data)
{
	(void)data;
	wv_frame_decoder_destroy(fixture->decoder);
	g_byte_array_free(fixture->bytes, TRUE);
}

static Wisteriavane__Frame
make_frame(Wisteriavane__Heartbeat *heartbeat)
{
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;

	frame.deployment = DEPLOYMENT;
	frame.protocol = WV_FRAME_PROTOCOL_VERSION;
	frame.vm = "vm1";
	frame.incarnation = 77;
	if (heartbeat != NULL) {
		wisteriavane__heartbeat__init(heartbeat);
		heartbeat->sequence = 5;
		frame.body_case = WISTERIAVANE__FRAME__BODY_HEARTBEAT;
		frame.heartbeat = heartbeat;
	}
	return frame;
}

/* Encodes a heartbeat with two members and two claims. */
static void
append_heartbeat(GByteArray *bytes, uint64_t sequence)
{
	Wisteriavane__Heartbeat heartbeat;
	Wisteriavane__Frame frame = make_frame(&heartbeat);
	Wisteriavane__Member a = WISTERIAVANE__MEMBER__INIT;
	Wisteriavane__Member b = WISTERIAVANE__MEMBER__INIT;
	Wisteriavane__Member *members[] = {&a, &b};
	char *claims[] = {"race-eve/0", "order-intake/0"};
	struct wv_status status;

	a.vm = "vm1";
	a.peer = "127.0.0.1:7001";
	b.vm = "vm2";
	b.incarnation = UINT64_MAX;
	heartbeat.sequence = sequence;
	heartbeat.n_members = 2;
	heartbeat.members = members;
	heartbeat.n_claims = 2;
	heartbeat.claims = claims;
	g_assert_cmpint(wv_frame_encode(&frame, bytes, &status), ==, WV_OK);
}

static void
push_all(struct fixture *fixture)
{
	wv_frame_decoder_push(
	    fixture->decoder, fixture->bytes->data, fixture->bytes->len);
}

static enum wv_code
next_code(struct fixture *fixture)
{
	Wisteriavane__Frame *frame;
	enum wv_code code;

	code =
	    wv_frame_decoder_next(fixture->decoder, &frame, &fixture->status);
	if (code != WV_OK)
		g_assert_null(frame);
	wv_frame_destroy(frame);
	return code;
}

/* A stream may be split anywhere; no frame may be lost, cut or duplicated. */
static void
test_any_split(struct fixture *fixture, gconstpointer data)
{
	Wisteriavane__Frame *frame;
	uint64_t expected = 1;

	(void)data;
	for (uint64_t i = 1; i <= 20; i++)
		append_heartbeat(fixture->bytes, i);
	for (guint at = 0, n = 1; at < fixture->bytes->len;
	     at += n, n = 1 + n * 7 % 23) {
		n = MIN(n, fixture->bytes->len - at);
		wv_frame_decoder_push(
		    fixture->decoder, fixture->bytes->data + at, n);
		for (;;) {
			g_assert_cmpint(wv_frame_decoder_next(fixture->decoder,
					    &frame, &fixture->status),
			    ==, WV_OK);
			if (frame == NULL)
				break;
			g_assert_cmpuint(
			    frame->heartbeat->sequence, ==, expected++);
			g_assert_cmpstr(
			    frame->heartbeat->claims[1], ==, "order-intake/0");
			wv_frame_destroy(frame);
		}
	}
	g_assert_cmpuint(expected, ==, 21);
	g_assert_cmpuint(wv_counter_read(&fixture->counters.accepted), ==, 20);
}

/* A length beyond the limit must be refused before any byte is buffered. */
static void
test_too_large(struct fixture *fixture, gconstpointer data)
{
	static const uint8_t exact[] = {0x00, 0x11, 0x00, 0x00};
	static const uint8_t above[] = {0x00, 0x11, 0x00, 0x01};

	(void)data;
	wv_frame_decoder_push(fixture->decoder, exact, sizeof(exact));
	g_assert_cmpint(next_code(fixture), ==, WV_OK);
	wv_frame_decoder_destroy(fixture->decoder);
	fixture->decoder = wv_frame_decoder_create(
	    wv_string_borrow(DEPLOYMENT), &fixture->counters);
	wv_frame_decoder_push(fixture->decoder, above, sizeof(above));
	g_assert_cmpint(next_code(fixture), ==, WV_FRAME_TOO_LARGE);
	/* No frame boundary can be found any more; the error counts once. */
	append_heartbeat(fixture->bytes, 1);
	push_all(fixture);
	g_assert_cmpint(next_code(fixture), ==, WV_FRAME_TOO_LARGE);
	g_assert_cmpuint(wv_counter_read(&fixture->counters.too_large), ==, 1);
	g_assert_cmpuint(wv_counter_read(&fixture->counters.accepted), ==, 0);
}

/* A frame that is too large must leave nothing in the send buffer. */
static void
test_encode_too_large(struct fixture *fixture, gconstpointer data)
{
	Wisteriavane__Forward forward = WISTERIAVANE__FORWARD__INIT;
	Wisteriavane__Frame frame = make_frame(NULL);
	char *text = g_malloc(WV_FRAME_MAX_SIZE + 1);

	(void)data;
	memset(text, 'x', WV_FRAME_MAX_SIZE);
	text[WV_FRAME_MAX_SIZE] = '\0';
	forward.text = text;
	frame.body_case = WISTERIAVANE__FRAME__BODY_FORWARD;
	frame.forward = &forward;
	append_heartbeat(fixture->bytes, 1);
	g_assert_cmpint(
	    wv_frame_encode(&frame, fixture->bytes, &fixture->status), ==,
	    WV_FRAME_TOO_LARGE);
	append_heartbeat(fixture->bytes, 2);
	push_all(fixture);
	g_assert_cmpint(next_code(fixture), ==, WV_OK);
	g_assert_cmpint(next_code(fixture), ==, WV_OK);
	g_assert_cmpuint(wv_counter_read(&fixture->counters.accepted), ==, 2);
	/* A payload of 1 MiB still fits. */
	text[1024 * 1024] = '\0';
	g_assert_cmpint(
	    wv_frame_encode(&frame, fixture->bytes, &fixture->status), ==,
	    WV_OK);
	g_free(text);
}

static void
append_frame(struct fixture *fixture, const Wisteriavane__Frame *frame)
{
	g_assert_cmpint(
	    wv_frame_encode(frame, fixture->bytes, &fixture->status), ==,
	    WV_OK);
}

/*
 * Frames of another deployment or protocol version must be dropped without
 * ending the stream: such VMs must neither join this deployment nor break it.
 */
static void
test_other_deployment_or_version(struct fixture *fixture, gconstpointer data)
{
	Wisteriavane__Heartbeat heartbeat;
	Wisteriavane__Frame frame = make_frame(&heartbeat);

	(void)data;
	frame.deployment = "sicilia";
	append_frame(fixture, &frame);
	frame.deployment = DEPLOYMENT;
	frame.protocol = WV_FRAME_PROTOCOL_VERSION + 1;
	append_frame(fixture, &frame);
	frame.protocol = WV_FRAME_PROTOCOL_VERSION;
	append_frame(fixture, &frame);
	push_all(fixture);
	g_assert_cmpint(next_code(fixture), ==, WV_WRONG_DEPLOYMENT);
	g_assert_cmpint(next_code(fixture), ==, WV_WRONG_PROTOCOL);
	g_assert_cmpint(next_code(fixture), ==, WV_OK);
	g_assert_cmpuint(
	    wv_counter_read(&fixture->counters.wrong_deployment), ==, 1);
	g_assert_cmpuint(
	    wv_counter_read(&fixture->counters.wrong_protocol), ==, 1);
	g_assert_cmpuint(wv_counter_read(&fixture->counters.accepted), ==, 1);
}

/*
 * A frame without a sender, which cannot be attributed to a VM, and bytes that
 * are not a message must end the stream.
 */
static void
test_malformed(struct fixture *fixture, gconstpointer data)
{
	static const uint8_t garbage[] = {0, 0, 0, 3, 0xff, 0xff, 0xff};
	Wisteriavane__Frame frame = make_frame(NULL);

	(void)data;
	frame.vm = "";
	append_frame(fixture, &frame);
	push_all(fixture);
	g_assert_cmpint(next_code(fixture), ==, WV_FRAME_MALFORMED);
	wv_frame_decoder_destroy(fixture->decoder);
	fixture->decoder = wv_frame_decoder_create(
	    wv_string_borrow(DEPLOYMENT), &fixture->counters);
	wv_frame_decoder_push(fixture->decoder, garbage, sizeof(garbage));
	g_assert_cmpint(next_code(fixture), ==, WV_FRAME_MALFORMED);
	g_assert_cmpint(next_code(fixture), ==, WV_FRAME_MALFORMED);
	g_assert_cmpuint(wv_counter_read(&fixture->counters.malformed), ==, 2);
}

/* Appends a field of a newer version to the frame in the buffer. */
static void
append_unknown_field(GByteArray *bytes)
{
	/* Field 200, length-delimited, 3 bytes. */
	static const uint8_t field[] = {0xc2, 0x0c, 3, 'n', 'e', 'w'};

	g_byte_array_append(bytes, field, sizeof(field));
	bytes->data[3] += sizeof(field);
}

/* During an upgrade two versions run together: unknown fields are skipped. */
static void
test_unknown_fields(struct fixture *fixture, gconstpointer data)
{
	Wisteriavane__Heartbeat heartbeat;
	Wisteriavane__Frame frame = make_frame(&heartbeat);
	Wisteriavane__Frame bare = make_frame(NULL);
	Wisteriavane__Frame *decoded;

	(void)data;
	append_frame(fixture, &frame);
	append_unknown_field(fixture->bytes);
	push_all(fixture);
	g_assert_cmpint(
	    wv_frame_decoder_next(fixture->decoder, &decoded, &fixture->status),
	    ==, WV_OK);
	g_assert_cmpuint(decoded->heartbeat->sequence, ==, 5);
	wv_frame_destroy(decoded);
	/* A frame whose body is of a kind unknown to this version. */
	g_byte_array_set_size(fixture->bytes, 0);
	append_frame(fixture, &bare);
	append_unknown_field(fixture->bytes);
	push_all(fixture);
	g_assert_cmpint(
	    wv_frame_decoder_next(fixture->decoder, &decoded, &fixture->status),
	    ==, WV_OK);
	g_assert_nonnull(decoded);
	g_assert_cmpint(decoded->body_case, ==, 0);
	wv_frame_destroy(decoded);
}

/*
 * A frame of empty repeated elements, which are much larger in memory than on
 * the wire, must be refused.
 */
static void
test_memory_is_bounded(struct fixture *fixture, gconstpointer data)
{
	Wisteriavane__Heartbeat heartbeat;
	Wisteriavane__Frame frame = make_frame(&heartbeat);
	Wisteriavane__Member member = WISTERIAVANE__MEMBER__INIT;
	size_t n = 500000;
	Wisteriavane__Member **members = g_new(Wisteriavane__Member *, n);

	(void)data;
	for (size_t i = 0; i < n; i++)
		members[i] = &member;
	heartbeat.n_members = n;
	heartbeat.members = members;
	append_frame(fixture, &frame);
	push_all(fixture);
	g_assert_cmpint(next_code(fixture), ==, WV_FRAME_MALFORMED);
	g_free(members);
}

/* Flips, changes, removes and appends some random bits and bytes. */
static void
mutate(GRand *random, GByteArray *bytes)
{
	int changes = g_rand_int_range(random, 1, 6);
	uint8_t byte;
	guint at;

	for (int i = 0; i < changes && bytes->len > 0; i++) {
		at = (guint)g_rand_int_range(random, 0, (gint)bytes->len);
		byte = (uint8_t)g_rand_int_range(random, 0, 256);
		switch (g_rand_int_range(random, 0, 4)) {
		case 0:
			g_byte_array_remove_index(bytes, at);
			break;
		case 1:
			g_byte_array_append(bytes, &byte, 1);
			break;
		case 2:
			bytes->data[at] ^=
			    (uint8_t)(1 << g_rand_int_range(random, 0, 8));
			break;
		default:
			bytes->data[at] = byte;
			break;
		}
	}
}

/*
 * Decodes mutated streams; every result must be a frame, no frame yet or an
 * error code of frames.
 */
static void
test_mutated(void)
{
	struct wv_string deployment = wv_string_borrow(DEPLOYMENT);
	struct wv_frame_counters counters;
	struct wv_frame_decoder *decoder;
	GByteArray *bytes = g_byte_array_new();
	Wisteriavane__Frame *frame;
	struct wv_status status;
	enum wv_code code;
	GRand *random;

	wv_frame_counters_init(&counters);
	for (guint32 seed = 1; seed <= 20000; seed++) {
		random = g_rand_new_with_seed(seed);
		g_byte_array_set_size(bytes, 0);
		append_heartbeat(bytes, 1);
		append_heartbeat(bytes, 2);
		mutate(random, bytes);
		decoder = wv_frame_decoder_create(deployment, &counters);
		wv_frame_decoder_push(decoder, bytes->data, bytes->len);
		for (int i = 0; i < 100; i++) {
			code = wv_frame_decoder_next(decoder, &frame, &status);
			if (code != WV_OK &&
			    (code < WV_FRAME_TOO_LARGE ||
				code > WV_FRAME_MALFORMED))
				g_error("seed %u gave code %d", seed, code);
			if (frame == NULL && code == WV_OK)
				break;
			wv_frame_destroy(frame);
		}
		wv_frame_decoder_destroy(decoder);
		g_rand_free(random);
	}
	/* The mutations must reach every error, and leave some frames valid. */
	g_assert_cmpuint(wv_counter_read(&counters.accepted), >, 0);
	g_assert_cmpuint(wv_counter_read(&counters.too_large), >, 0);
	g_assert_cmpuint(wv_counter_read(&counters.wrong_deployment), >, 0);
	g_assert_cmpuint(wv_counter_read(&counters.wrong_protocol), >, 0);
	g_assert_cmpuint(wv_counter_read(&counters.malformed), >, 0);
	g_byte_array_free(bytes, TRUE);
}

static void
add_test(const char *path, void (*run)(struct fixture *, gconstpointer))
{
	g_test_add(
	    path, struct fixture, NULL, fixture_set_up, run, fixture_tear_down);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_test("/frame/cut", test_any_split);
	add_test("/frame/too-large", test_too_large);
	add_test("/frame/encode-too-large", test_encode_too_large);
	add_test("/frame/foreign", test_other_deployment_or_version);
	add_test("/frame/malformed", test_malformed);
	add_test("/frame/unknown-fields", test_unknown_fields);
	add_test("/frame/memory", test_memory_is_bounded);
	g_test_add_func("/frame/mutated", test_mutated);
	return g_test_run();
}
