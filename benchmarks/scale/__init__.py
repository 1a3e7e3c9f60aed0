"""Scale runs: real daemons beside hundreds of hollow gateways on one machine.

`python -m benchmarks.scale NAME` plays one experiment; `docs/scale.md` says how to read it.
"""
