"""What one process of a gateway passes to the next: state, connections, maintenance marks.

Without I/O: `snapshot` has the state and its encoding, `frames` the messages, and `shares` how two
processes share resources. `link` is the socket between them, `passed_connections` what the
successor has not confirmed, `files` and `maintenance_writer` what is on disk; `successor` and
`takeover` decide when what is passed.
"""
