"""The operators' endpoint: HTTP requests that query this process and take hosts out.

`requests` parses and executes a request, without I/O; `handlers` implements the actions on the
gateway; `server` handles the sockets.
"""
