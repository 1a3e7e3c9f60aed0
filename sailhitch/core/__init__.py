"""The core: a request's life from its last byte to its one final answer, whatever carries it.

Imports run one way: fronts (`net/downstream.py`), transports to hosts (`net/connection_pool.py`)
and sources of endpoints (`net/discovery.py`) import the core, which knows them by the protocols in
`interfaces.py` alone. Whoever wires them together (`net/platform.py`) imports all of them.
"""
