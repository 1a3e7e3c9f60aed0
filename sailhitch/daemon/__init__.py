"""The gateway daemon, configured by an operator file: desired state, plans and their application.

Sans-IO: `schema` (the operator file), `state` (the desired state as plain values), `plan` (the
difference between two states), `routes` (the pool that a request goes to), `tables` (the decision
module's settings). With sockets and disk: `store`, `state_applier`, `intake`, `admin`, `process`.
The platform's gateway (`sailhitch.__main__`) imports none of it.
"""
