"""Measurements and plays at the size of two years ahead (`docs/CAPACITY.md`)."""
