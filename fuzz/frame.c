/**
 * @file
 * Fuzz target: frames between VMs. The stream consists of a frame of the
 * deployment "k" with the input as the JSON of a contract, then the raw input.
 */
#include "fuzz/fuzz.h"
#include "proto/frame.h"

/*
 * Pushes a frame that contains the input. One byte of the frame is corrupted,
 * unless the length of the input is a multiple of 3.
 */
static void
push_frame(struct wv_frame_decoder *decoder, struct wv_string input)
{
	GByteArray *buffer = g_byte_array_new();
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	Wisteriavane__Contracts contracts = WISTERIAVANE__CONTRACTS__INIT;
	Wisteriavane__Contract contract = WISTERIAVANE__CONTRACT__INIT;
	Wisteriavane__Contract *list[] = {&contract};
	char *text = g_strndup(input.data, input.length);
	struct wv_status status;

	frame.deployment = "k";
	frame.protocol = WV_FRAME_PROTOCOL_VERSION;
	frame.vm = "vm1";
	frame.body_case = WISTERIAVANE__FRAME__BODY_CONTRACTS;
	frame.contracts = &contracts;
	contract.customer = "kestane";
	contract.json = text;
	contracts.contracts = list;
	contracts.n_contracts = 1;
	wv_frame_encode(&frame, buffer, &status);
	/* The hash of the input selects the byte, so runs are reproducible. */
	if (input.length % 3 > 0)
		buffer->data[wv_string_hash(input) % buffer->len] ^=
		    (guint8)input.length;
	wv_frame_decoder_push(decoder, buffer->data, buffer->len);
	g_byte_array_free(buffer, TRUE);
	g_free(text);
}

/*
 * Reads all complete frames; returns whether one was accepted. An error that
 * ends the stream must be returned again by the next call.
 */
static bool
read_frames(struct wv_frame_decoder *decoder)
{
	Wisteriavane__Frame *frame;
	struct wv_status status;
	enum wv_code code, again;
	bool accepted = false;

	for (;;) {
		code = wv_frame_decoder_next(decoder, &frame, &status);
		if (code == WV_FRAME_MALFORMED || code == WV_FRAME_TOO_LARGE) {
			again = wv_frame_decoder_next(decoder, &frame, &status);
			g_assert_cmpint(again, ==, code);
			return accepted;
		}
		if (code == WV_OK && frame == NULL)
			return accepted;
		if (code == WV_OK)
			wv_frame_destroy(frame);
		accepted = accepted || code == WV_OK;
	}
}

static bool
run(struct wv_string input)
{
	struct wv_frame_counters counters;
	struct wv_frame_decoder *decoder;
	bool accepted;

	wv_frame_counters_init(&counters);
	decoder = wv_frame_decoder_create(wv_string_borrow("k"), &counters);
	push_frame(decoder, input);
	accepted = read_frames(decoder);
	wv_frame_decoder_push(decoder, input.data, input.length);
	read_frames(decoder);
	wv_frame_decoder_destroy(decoder);
	return accepted;
}

static const char *const seeds[] = {
    "\x01\x01\x01\x01", "{\"customer\":\"kestane\"}", "a", "", NULL};

const struct fuzz_target fuzz_frame = {"frame", run, seeds};
