/* A small valid configuration without findings, which the tests modify. */
#ifndef LACEWING_CONFIG_SAMPLE_H
#define LACEWING_CONFIG_SAMPLE_H

#define HASH_A                                                                \
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B                                                                \
    "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

#define SAMPLE                                                                \
    "[deployment]\nname=sample\nregion=here\n"                                \
    "[zone a]\nlatency_ms=1.5\n"                                              \
    "[server engine-1]\nzone=a\naddress=10.0.0.1:80\nadapter_slots=4\n"       \
    "tokens_per_s=40\nfence=check\n"                                          \
    "[server order-1]\nzone=a\naddress=10.0.0.2:80\nkind=service\n"           \
    "[server order-2]\nzone=a\naddress=10.0.0.3:80\nkind=service\n"           \
    "[model base]\n"                                                          \
    "[team t]\nkeys=caller:" HASH_A "; operator:" HASH_B "\n"                 \
    "[adapter quote]\nmodel=base\nteam=t\nversions=1; 2; 3\n"                 \
    "shares=50; 30; 20\npinned=1\n"                                           \
    "[operation draft]\ndeadline_ms=20000\nmax_tokens=400\n"                  \
    "[operation book]\nkind=call\nservers=order-1; order-2\n"

#endif
