"""Leaving a zone, and returning to it, as a fleet.

    posture         which part of each zone is in use: one record that a tier's gateways apply
    health_tracker  what one gateway knows of each zone, by the last outcome at each node
    evidence        what the requests of all gateways came to in each zone since a step began
    diagnosis       what is wrong with a zone, by what all gateways know of it
    rollout         the way back: steps, what each waits for, what a relapse does
    controller      one gateway's part: what it applies, sends and proposes

Sans-IO, and free of the rest of the program: time comes in as an argument, in microseconds of the
process's own steady clock, and a new posture goes out as a value.
"""
