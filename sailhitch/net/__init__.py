"""The gateway's socket I/O. It translates bytes; the decision module makes every decision."""
