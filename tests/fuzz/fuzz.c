/* Entry of libFuzzer; FZ_TARGET names the target. */
#include "targets.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    FZ_TARGET(bytes, size);
    return 0;
}
