"""Test doubles for testing and measuring the gateway over loopback: nodes, fronts and clients.

The gateway imports nothing from here.
"""
