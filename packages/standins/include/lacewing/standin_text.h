/*
 * standin_text.h: the text that the stand-in engine produces (prefix tx_).
 *
 * The text of token i is a function of model, prompt and i alone, so that a
 * caller can check a whole answer. Token 0 names the model. A prompt that
 * holds "#tokens=N" ends by itself after N tokens; any other runs to
 * max_tokens.
 *
 *     char text[TX_TOKEN_BYTES];
 *     uint64_t seed = tx_query_seed("a@v", "prompt");
 *     tx_query_token(seed, "a@v", 0, text);
 *     g_autofree char *answer = tx_query_answer("a@v", "prompt", 64);
 *
 * Limits: the name of a model is cut to fit TX_TOKEN_BYTES.
 */
#ifndef LACEWING_STANDIN_TEXT_H
#define LACEWING_STANDIN_TEXT_H

#include <stdint.h>

#define TX_TOKEN_BYTES 128

uint64_t tx_query_seed(const char *model, const char *prompt);
void tx_query_token(uint64_t seed, const char *model, uint32_t index,
                    char text[TX_TOKEN_BYTES]);
/* Tokens of the whole answer. */
uint32_t tx_query_token_count(const char *prompt, uint32_t max_tokens);
/* The whole answer; free with g_free(). */
char *tx_query_answer(const char *model, const char *prompt,
                      uint32_t max_tokens);

#endif
