/**
 * @file
 * Validation of JSON texts beyond that of json-glib's parser, and access to
 * parts of texts that it rejects as a whole. Nothing here recurses.
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

/**
 * Returns whether objects and arrays nest at most max_depth deep. json-glib
 * recurses for each level, so a deep text would exhaust the stack.
 */
bool wv_json_text_is_shallow(struct wv_string text, unsigned max_depth);

/**
 * Finds a member of an object without decoding its value, which need not be
 * valid beyond its quotes and brackets. Of several with the name, the last one
 * counts.
 *
 * @param name   compared with the bytes of the member's name
 * @param value  receives the text of the value, borrowed from the object
 * @return false if there is none, or if the text is not an object
 */
bool wv_json_text_find_member(
    struct wv_string object, const char *name, struct wv_string *value);

/**
 * Finds the next element of an array without decoding it.
 *
 * @param at       0 before the first call; position after the element
 * @param element  receives the text of the element, borrowed from the array
 * @return false if there is none, or if the text is not an array
 */
bool wv_json_text_next_element(
    struct wv_string array, size_t *at, struct wv_string *element);

/**
 * Returns whether a text is an array whose elements are separated by commas up
 * to its end. The elements need not be valid.
 */
bool wv_json_text_is_array(struct wv_string text);

#endif
