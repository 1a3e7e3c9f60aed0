"""Draining a zone and recovering it step by step, coordinated by all gateways of a tier.

    traffic_policy  which part of each zone is in use: one record that a tier's gateways apply
    health_tracker  what one gateway observes of each zone, by the last outcome at each node
    evidence        outcomes of all gateways' requests in each zone since a step began
    diagnosis       the condition of a zone, by the reports of all gateways
    rollout         the recovery: its steps, what each waits for, what a relapse does
    controller      one gateway's part: what it applies, reports and proposes

Sans-IO and independent of the rest of the program: time is an argument, in microseconds of the
process's own monotonic clock, and a new traffic policy is returned as a value.
"""
