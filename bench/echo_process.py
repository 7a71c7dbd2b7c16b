"""Echo server for the round trip in the baseline of commit_latency.py.

Usage: ``echo_process.py PORT``.
"""

import socket
import sys


def main():
    """Accepts one loopback connection and echoes until the peer closes it."""
    with socket.create_server(("127.0.0.1", int(sys.argv[1]))) as server:
        connection, _ = server.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while data := connection.recv(4_096):
            connection.sendall(data)


if __name__ == "__main__":
    main()
