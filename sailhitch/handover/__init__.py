"""What one process of a gateway leaves to the next: state, connections, bans.

`legacy` says what is told and how it is written, and `shares` how two processes share what one may
use, both without I/O; `link` has the socket between them, `passed_connections` what the other end
has not taken yet, `files` what is kept beside them, and `succession` says when what passes.
"""
