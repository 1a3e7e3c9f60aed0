"""A model of the fleet: processes, clocks, disks and a network in virtual time.

    kernel         the event queue in virtual time, and named streams of random numbers
    network        datagrams between processes, with loss, delay, duplicates and cut links
    process        a process with its own clock rate and disk, which pauses and crashes
    contents       the contents of versions, as trees of several pages
    tier_process   a member of a tier, which runs the daemon's core
    tier           the world: a tier of such members, its network and the checks
    invariants     checks the promises against the states chosen and the writes made
    events         scenarios as data
    player         applies a scenario's events to a world
    scenario       draws scenarios from a seed; plays, shrinks and formats them
    explore        exhaustive search of small worlds of the register

A run is a pure function of its scenario and seed. The package belongs to the `[lab]` extra; no part
of the gateway imports it.
"""
