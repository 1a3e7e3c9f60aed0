"""The fleet model: processes, clocks, disks and a network in virtual time.

    kernel         events in the order of their times; streams of random numbers by name
    network        datagrams between processes: lost, late, duplicated, cut one way or both
    process        a process: a clock of its own rate, a disk, pauses and crashes
    contents       versions as trees of several pages
    tier_process   a member of a tier, by the same core as the daemon's
    tier           the world: a tier of such members, its network and its checks
    invariants     checks the promises against what was really chosen and written
    events         scenarios as data
    player         plays a scenario's events
    scenario       draws scenarios from a seed, plays, shrinks and formats them
    explore        every order of events in small worlds of the register

A run is a pure function of its scenario and seed. An extra, `[lab]`; no part of the gateway
imports it.
"""
