"""The core: the lifecycle of a request until its one final response, whatever carries it.

Imports run one way: fronts (`net/downstream.py`), transports to hosts (`net/connection_pool.py`)
and sources of endpoints (`net/discovery.py`) import the core, which knows them by the protocols in
`interfaces.py` alone. `net/platform.py` wires them together and imports all of them.
"""
