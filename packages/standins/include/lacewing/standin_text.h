/*
 * standin_text.h: the text that the stand-in engine generates (prefix tx_).
 *
 * The text of a token depends only on the model, the prompt and the token's
 * index, so that a caller can check a complete answer. Token 0 is the name of
 * the model and a colon. The answer to a prompt that contains "#tokens=N" has
 * N tokens, at least 1 and at most max_tokens; any other answer has max_tokens
 * tokens.
 *
 *     char text[TX_TOKEN_BYTES];
 *     uint64_t seed = tx_query_seed("a@v", "prompt");
 *     tx_query_token(seed, "a@v", 0, text);
 *     g_autofree char *answer = tx_query_answer("a@v", "prompt", 64);
 *
 * Limits: token 0 is truncated to TX_TOKEN_BYTES, with its terminating NUL.
 */
#ifndef LACEWING_STANDIN_TEXT_H
#define LACEWING_STANDIN_TEXT_H

#include <stdint.h>

#define TX_TOKEN_BYTES 128

/* Seed of all tokens of the answer to one prompt. */
uint64_t tx_query_seed(const char *model, const char *prompt);
/* Writes the text of the token at an index that starts at 0. */
void tx_query_token(uint64_t seed, const char *model, uint32_t index,
                    char text[TX_TOKEN_BYTES]);
/* Number of tokens of the complete answer. */
uint32_t tx_query_token_count(const char *prompt, uint32_t max_tokens);
/* Text of the complete answer; free it with g_free(). */
char *tx_query_answer(const char *model, const char *prompt,
                      uint32_t max_tokens);

#endif
