"""Echoes what arrives on one loopback connection."""

import socket
import sys


def main():
    """Accepts one connection and echoes until it ends."""
    with socket.create_server(("127.0.0.1", int(sys.argv[1]))) as server:
        connection, _ = server.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while data := connection.recv(4_096):
            connection.sendall(data)


if __name__ == "__main__":
    main()
