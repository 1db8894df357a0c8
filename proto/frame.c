/**
 * @file
 * Encoding of frames, and decoding of frames from a byte stream.
 */
#include "proto/frame.h"

#include <stdlib.h>
#include <string.h>

/*
 * A decoded frame may use MEMORY_FACTOR times its encoded length plus
 * MEMORY_BASE bytes of memory. An empty element of a repeated field has 2 bytes
 * on the wire and about 100 in memory, so without the limit a frame of 1 MiB
 * could use more than 50 MiB. Typical frames use less than 8 times their
 * length.
 */
#define MEMORY_FACTOR 16
#define MEMORY_BASE (64 * 1024)

struct wv_frame_decoder {
	struct wv_string deployment; /* owned */
	struct wv_frame_counters *counters; /* borrowed */
	GByteArray *buffer; /* received bytes */
	size_t start; /* bytes of the buffer that are already decoded */
	struct wv_status broken; /* error that ended the stream, or WV_OK */
};

void
wv_frame_counters_init(struct wv_frame_counters *counters)
{
	memset(counters, 0, sizeof(*counters));
	counters->accepted.name = "frames_accepted";
	counters->too_large.name = "frames_too_large";
	counters->wrong_deployment.name = "frames_wrong_deployment";
	counters->wrong_protocol.name = "frames_wrong_protocol";
	counters->malformed.name = "frames_malformed";
}

void
wv_frame_counters_foreach(const struct wv_frame_counters *counters,
    wv_counter_visitor visit, void *data)
{
	const struct wv_counter *const all[] = {&counters->accepted,
	    &counters->too_large, &counters->wrong_deployment,
	    &counters->wrong_protocol, &counters->malformed};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		visit(data, all[i]->name, wv_counter_read(all[i]));
}

enum wv_code
wv_frame_encode(const Wisteriavane__Frame *frame, GByteArray *buffer,
    struct wv_status *status)
{
	size_t size = wisteriavane__frame__get_packed_size(frame);
	guint before = buffer->len;
	uint32_t length;

	if (size > WV_FRAME_MAX_SIZE)
		return wv_status_set(status, WV_FRAME_TOO_LARGE,
		    "frame of %zu bytes exceeds the limit of %d", size,
		    WV_FRAME_MAX_SIZE);
	length = GUINT32_TO_BE((uint32_t)size);
	g_byte_array_set_size(
	    buffer, before + WV_FRAME_HEADER_SIZE + (guint)size);
	memcpy(buffer->data + before, &length, WV_FRAME_HEADER_SIZE);
	wisteriavane__frame__pack(
	    frame, buffer->data + before + WV_FRAME_HEADER_SIZE);
	wv_status_clear(status);
	return WV_OK;
}

struct wv_frame_decoder *
wv_frame_decoder_create(
    struct wv_string deployment, struct wv_frame_counters *counters)
{
	struct wv_frame_decoder *decoder = g_new0(struct wv_frame_decoder, 1);

	decoder->deployment = wv_string_copy(deployment);
	decoder->counters = counters;
	decoder->buffer = g_byte_array_new();
	return decoder;
}

void
wv_frame_decoder_destroy(struct wv_frame_decoder *decoder)
{
	if (decoder == NULL)
		return;
	wv_string_clear(&decoder->deployment);
	g_byte_array_free(decoder->buffer, TRUE);
	g_free(decoder);
}

void
wv_frame_decoder_push(
    struct wv_frame_decoder *decoder, const void *bytes, size_t n)
{
	if (decoder->broken.code != WV_OK || n == 0)
		return;
	if (decoder->start > 0) {
		g_byte_array_remove_range(
		    decoder->buffer, 0, (guint)decoder->start);
		decoder->start = 0;
	}
	g_byte_array_append(decoder->buffer, bytes, (guint)n);
}

/* Memory limit for decoding one frame. */
struct memory_limit {
	size_t bytes_left;
};

static void *
bounded_alloc(void *data, size_t size)
{
	struct memory_limit *limit = data;

	if (size > limit->bytes_left)
		return NULL;
	limit->bytes_left -= size;
	return malloc(size);
}

static void
bounded_free(void *data, void *pointer)
{
	(void)data;
	free(pointer);
}

static Wisteriavane__Frame *
unpack_bounded(const uint8_t *bytes, size_t length)
{
	struct memory_limit limit = {MEMORY_FACTOR * length + MEMORY_BASE};
	ProtobufCAllocator allocator = {bounded_alloc, bounded_free, &limit};

	return wisteriavane__frame__unpack(&allocator, length, bytes);
}

/* Ends the stream with the error in status. Counts it once. */
static enum wv_code
break_stream(struct wv_frame_decoder *decoder, struct wv_counter *counter,
    struct wv_status *status)
{
	wv_counter_add(counter, 1);
	decoder->broken = *status;
	g_byte_array_set_size(decoder->buffer, 0);
	decoder->start = 0;
	return status->code;
}

/*
 * Checks that a frame has the deployment and protocol version of this VM and
 * names its sender.
 */
static enum wv_code
check_envelope(struct wv_frame_decoder *decoder,
    const Wisteriavane__Frame *frame, struct wv_status *status)
{
	struct wv_string deployment = wv_string_borrow(frame->deployment);

	if (!wv_string_equal(deployment, decoder->deployment)) {
		wv_counter_add(&decoder->counters->wrong_deployment, 1);
		return wv_status_set(status, WV_WRONG_DEPLOYMENT,
		    "frame of deployment \"%.64s\"", frame->deployment);
	}
	if (frame->protocol != WV_FRAME_PROTOCOL_VERSION) {
		wv_counter_add(&decoder->counters->wrong_protocol, 1);
		return wv_status_set(status, WV_WRONG_PROTOCOL,
		    "frame of protocol version %u, expected %u",
		    frame->protocol, WV_FRAME_PROTOCOL_VERSION);
	}
	if (frame->vm[0] == '\0') {
		wv_status_set(status, WV_FRAME_MALFORMED,
		    "frame does not name its sender");
		return break_stream(
		    decoder, &decoder->counters->malformed, status);
	}
	return WV_OK;
}

/* Decodes and checks one complete frame. */
static enum wv_code
decode_frame(struct wv_frame_decoder *decoder, const uint8_t *bytes,
    size_t length, Wisteriavane__Frame **frame, struct wv_status *status)
{
	Wisteriavane__Frame *decoded = unpack_bounded(bytes, length);
	enum wv_code code;

	if (decoded == NULL) {
		wv_status_set(status, WV_FRAME_MALFORMED,
		    "frame of %zu bytes is not a valid message", length);
		return break_stream(
		    decoder, &decoder->counters->malformed, status);
	}
	code = check_envelope(decoder, decoded, status);
	if (code != WV_OK) {
		wv_frame_destroy(decoded);
		return code;
	}
	wv_counter_add(&decoder->counters->accepted, 1);
	*frame = decoded;
	return WV_OK;
}

enum wv_code
wv_frame_decoder_next(struct wv_frame_decoder *decoder,
    Wisteriavane__Frame **frame, struct wv_status *status)
{
	const uint8_t *bytes = decoder->buffer->data + decoder->start;
	size_t available = decoder->buffer->len - decoder->start;
	uint32_t length;

	*frame = NULL;
	if (decoder->broken.code != WV_OK) {
		*status = decoder->broken;
		return status->code;
	}
	wv_status_clear(status);
	if (available < WV_FRAME_HEADER_SIZE)
		return WV_OK;
	memcpy(&length, bytes, WV_FRAME_HEADER_SIZE);
	length = GUINT32_FROM_BE(length);
	if (length > WV_FRAME_MAX_SIZE) {
		wv_status_set(status, WV_FRAME_TOO_LARGE,
		    "frame of %u bytes exceeds the limit of %d", length,
		    WV_FRAME_MAX_SIZE);
		return break_stream(
		    decoder, &decoder->counters->too_large, status);
	}
	if (available - WV_FRAME_HEADER_SIZE < length)
		return WV_OK;
	decoder->start += WV_FRAME_HEADER_SIZE + length;
	return decode_frame(
	    decoder, bytes + WV_FRAME_HEADER_SIZE, length, frame, status);
}

void
wv_frame_destroy(Wisteriavane__Frame *frame)
{
	if (frame != NULL)
		wisteriavane__frame__free_unpacked(frame, NULL);
}
