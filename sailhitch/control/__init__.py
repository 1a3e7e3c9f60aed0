"""The operators' endpoint: HTTP requests by which staff query this process and take hosts out.

`requests` parses and executes a request, without I/O; `handlers` has the actions on the gateway;
`server` has the sockets.
"""
