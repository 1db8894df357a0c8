/**
 * @file
 * Frames between VMs on a byte stream: a 4-byte big-endian length, then one
 * protobuf Frame of proto/peer.proto. Unknown fields are skipped.
 *
 * A decoder belongs to one connection and is used by one thread at a time;
 * counters may be shared by all decoders.
 */
#ifndef WISTERIAVANE_PROTO_FRAME_H
#define WISTERIAVANE_PROTO_FRAME_H

#include <glib.h>

#include "proto/peer.pb-c.h"
#include "wisteriavane/counters.h"
#include "wisteriavane/status.h"

/** Protocol version; frames of other versions are refused. */
#define WV_FRAME_PROTOCOL_VERSION 1
/** Longest frame without its length prefix, bytes: a 1 MiB payload fits. */
#define WV_FRAME_MAX_SIZE ((1024 + 64) * 1024)
/** Size of the length prefix of each frame, bytes. */
#define WV_FRAME_HEADER_SIZE 4

/** Counters of received frames, one for each result. */
struct wv_frame_counters {
	struct wv_counter accepted;
	struct wv_counter too_large;
	struct wv_counter wrong_deployment;
	struct wv_counter wrong_protocol;
	struct wv_counter malformed;
};

/** Sets the names of the counters and their values to zero. */
void wv_frame_counters_init(struct wv_frame_counters *counters);

/** Calls visit with the name and value of each counter. */
void wv_frame_counters_foreach(const struct wv_frame_counters *counters,
    wv_counter_visitor visit, void *data);

/**
 * Appends a frame with its length prefix to a buffer.
 *
 * @param frame   deployment, protocol, vm, incarnation and body must be set
 * @param buffer  unchanged on failure
 * @param status  receives WV_FRAME_TOO_LARGE and a message on failure
 * @return WV_OK or the code in status
 */
enum wv_code wv_frame_encode(const Wisteriavane__Frame *frame,
    GByteArray *buffer, struct wv_status *status);

/** Splits the byte stream of one connection into frames. */
struct wv_frame_decoder;

/**
 * Creates a decoder for one connection.
 *
 * @param deployment  deployment that frames must name; copied
 * @param counters    borrowed until the decoder is destroyed
 */
struct wv_frame_decoder *wv_frame_decoder_create(
    struct wv_string deployment, struct wv_frame_counters *counters);

/** Releases a decoder. NULL is allowed. */
void wv_frame_decoder_destroy(struct wv_frame_decoder *decoder);

/**
 * Appends received bytes. Call wv_frame_decoder_next() until it yields no
 * frame before the next call, so that at most one incomplete frame is buffered.
 * Bytes are ignored once the stream has ended with an error.
 */
void wv_frame_decoder_push(
    struct wv_frame_decoder *decoder, const void *bytes, size_t n);

/**
 * Decodes the next complete frame.
 *
 * WV_FRAME_TOO_LARGE and WV_FRAME_MALFORMED end the stream: the connection
 * must be closed, and every further call returns the same code without counting
 * it again. A frame of another deployment (WV_WRONG_DEPLOYMENT) or protocol
 * version (WV_WRONG_PROTOCOL) is dropped, and the stream can be read further.
 *
 * @param frame   receives a frame to be released with wv_frame_destroy(), or
 *                NULL on failure and while no frame is complete. Its body is
 *                unset if a newer VM sent a kind that this version does not
 *                know.
 * @param status  receives the code and a message on failure
 * @return WV_OK or the code in status
 */
enum wv_code wv_frame_decoder_next(struct wv_frame_decoder *decoder,
    Wisteriavane__Frame **frame, struct wv_status *status);

/** Releases a decoded frame. NULL is allowed. */
void wv_frame_destroy(Wisteriavane__Frame *frame);

#endif
