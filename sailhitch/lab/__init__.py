"""Stand-ins to test and measure the gateway with, over loopback: claims nodes, fronts and crowds.

Nothing here is imported by the gateway.
"""
