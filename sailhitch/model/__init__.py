"""The fleet model: processes, clocks, disks and a network in virtual time.

    kernel     events in the order of their times; streams of random numbers by name
    network    datagrams between processes: lost, late, doubled, cut one way or both
    process    what every process has: a clock of its own rate, a disk, pauses and crashes
    contents   versions as trees of several pages
    tier       members of a tier, by the same cores as the daemon's, and what they do
    truth      what was really decided and done, and whether a promise was broken
    story      scenarios as data, drawn from a seed; a failing one is cut down to a short story

A run is a pure function of its scenario and seed. An extra, `[lab]`; no part of the gateway
imports it.
"""
