/**
 * @file
 * Validation of JSON texts beyond that of json-glib's parser.
 */
#ifndef WISTERIAVANE_JSON_TEXT_H
#define WISTERIAVANE_JSON_TEXT_H

#include "wisteriavane/types.h"

/**
 * Returns whether only white space follows the first object or array of a
 * text that was parsed without errors. json-glib accepts several values in a
 * row and keeps the last, so a body that was sent twice would be accepted.
 */
bool wv_json_text_is_single(struct wv_string text);

#endif
