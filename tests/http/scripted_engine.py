"""A fake engine whose response bytes are scripted by the test."""

import contextlib
import json
import socket
import threading


class ScriptedEngine:
    """Answers each streamed request with the bytes that a script sends.

    The script is called with (socket, JSON body) after the headers were sent.
    It returns whether the connection may be reused.
    """

    def __init__(self, script):
        self.script = script
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        reader = sock.makefile("rb")
        with contextlib.suppress(OSError), sock:
            while True:
                headers = {}
                while (line := reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode().partition(":")
                    headers[name.lower()] = value.strip()
                if not headers:
                    return
                if "x-attempt-id" not in headers:
                    # A load request of the entry process; this engine reports
                    # no load.
                    sock.sendall(
                        b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                body = reader.read(int(headers["content-length"]))
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    b"Transfer-Encoding: chunked\r\nX-Attempt-Id: "
                    + headers["x-attempt-id"].encode()
                    + b"\r\n\r\n"
                )
                if not self.script(sock, json.loads(body)):
                    sock.shutdown(socket.SHUT_RDWR)
                    return


def event(text):
    """Returns a token as a server-sent event."""
    document = {"choices": [{"index": 0, "delta": {"content": text}}]}
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def publish(fleet, pool, address, count):
    """Replaces a pool's servers by entries for one engine, in the VM list."""
    fleet.vms = [vm for vm in fleet.vms if vm.get("pool") != pool] + [
        {
            "name": f"scripted-{number}",
            "address": address,
            "region": "andina-bog",
            "zone": "andina-bog-a",
            "role": "backend",
            "pool": pool,
            "state": "live",
        }
        for number in range(count)
    ]
    fleet.publish_vms()
