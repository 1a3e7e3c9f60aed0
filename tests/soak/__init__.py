"""A randomized fault soak: real gateway processes on loopback, overlapping faults, an oracle.

    python -m tests.soak --from 0 --seeds 20 [--gateways 10] [--keep FOLDER]

Parts, each importing only those before it:

    system_faults  failures of system calls and steps of the wall clock, by a shared plan
    records        events recorded by all parts
    proxy          delays, drops and resets of TCP connections to a node
    nodes          nodes that record requests and misbehave by mode
    agents         discovery, with two agents for each gateway
    gateways       processes: start, stop, kill, pause, reload
    clients        requests; some clients disconnect early
    oracle         checks of the rules
    troubles       injected faults, drawn from a seed
    play           one run, from start to verdict
"""
