"""Scale runs: real daemons and hundreds of hollow gateways on one machine.

`python -m benchmarks.scale NAME` runs one experiment; `docs/scale.md` explains its results.
"""
