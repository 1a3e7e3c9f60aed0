"""The operator's daemon: a file that says what is wanted, plans of changes, and their application.

Sans-IO: `schema` (the file), `state` (what is wanted, in one plain form), `plan` (the difference of
two), `routes` (which pool a request goes to), `tables` (the module's settings). On sockets and
disk: `store`, `live`, `intake`, `admin`, `process`. The platform's line imports none of it.
"""
