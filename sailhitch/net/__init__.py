"""The sockets side of the gateway: it translates, and leaves every decision to the module."""
