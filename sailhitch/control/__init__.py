"""The operators' door: calls by which staff ask after this process and take hosts out.

`calls` reads a call and decides on it, without I/O; `desk` has the sockets.
"""
