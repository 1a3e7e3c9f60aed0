"""A randomized fault soak: real gateway processes on loopback, overlapping faults, rules as oracle.

    python -m tests.soak --from 0 --seeds 20 [--gateways 10] [--keep FOLDER]

Parts, each importing only those before it:

    system_faults  system calls and the wall clock of a process fail or step by a shared plan
    records        what happened, as everybody notes it
    proxy          TCP connections to a node that come up late, are cut or are reset
    nodes          nodes that note what comes, and misbehave by a mode
    agents         discovery, an agent for each gateway
    gateways       processes: start, stop, kill, pause, reload
    clients        requests, some of whose clients leave early
    oracle         which rules were broken
    troubles       what goes wrong, drawn from a seed
    play           one seed from start to verdict
"""
