"""Leaving a zone, and returning to it, as a fleet.

    posture    which part of each zone is in use: one record that all gateways of a tier go by
    evidence   what the requests of all gateways came to in each zone since a step began
    course     the way back: steps, what each waits for, what a relapse does
    helm       one gateway's part: what it goes by, says and proposes

Sans-IO, and free of the rest of the program: time comes in as an argument, in microseconds of the
process's own steady clock, and a new posture goes out as a value.
"""
