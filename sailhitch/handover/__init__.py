"""Handover between two processes of a gateway: state, connections and maintenance marks.

Without I/O: `snapshot` defines the state and its encoding, `frames` the messages, and `shares` how
the processes divide resources. `link` is the socket between them, `passed_connections` tracks what
the successor has not confirmed, `files` and `maintenance_writer` access the disk; `successor` and
`takeover` decide what is sent and when.
"""
