/**
 * @file
 * Internal declarations that are shared by the sources of the library.
 */
#ifndef WISTERIAVANE_PRIVATE_H
#define WISTERIAVANE_PRIVATE_H

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/** GHashFunc for keys of type struct wv_string. */
guint wv_string_key_hash(gconstpointer key);

/** GEqualFunc for keys of type struct wv_string. */
gboolean wv_string_key_equal(gconstpointer a, gconstpointer b);

/** GDestroyNotify for allocated keys of type struct wv_string. */
void wv_string_key_destroy(gpointer key);

#endif
