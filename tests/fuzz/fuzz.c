/* Entry point of the libFuzzer programs. The build defines FZ_TARGET as the
   target function of targets.h that the program calls. */
#include "targets.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    FZ_TARGET(bytes, size);
    return 0;
}
