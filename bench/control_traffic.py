#!/usr/bin/env python3
"""Measures the control traffic of hosts at rest on loopback: starts `agatepost serve` (five by default), stops them after
a time, and prints the bytes per second that each logged. Usage: control_traffic.py [BINARY] [SECONDS] [HOSTS]"""
import os
import re
import signal
import subprocess
import sys
import time

binary = sys.argv[1] if len(sys.argv) > 1 else "build/agatepost"
seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 20
total = int(sys.argv[3]) if len(sys.argv) > 3 else 5
document = '{"profiles": [], "services": [], "targets": []}'
path = "/tmp/control_traffic_%d.json" % time.time_ns()
with open(path, "w") as file:
    file.write(document)
hosts = []
try:
    for i in range(total):
        hosts.append(subprocess.Popen(
            [binary, "serve", f"--name=host-{i}", f"--peer-address=127.0.0.{i + 60}:17081",
             f"--data-address=127.0.0.{i + 60}:16081", f"--admin-address=127.0.0.{i + 60}:18081",
             "--peers=127.0.0.60:17081", "--store=file",
             f"--config-file={path}", "--stop-limit=1000"], env={**os.environ, "AGATEPOST_KEY": "ab" * 32},
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True))
    time.sleep(seconds)
    for host in hosts:
        host.send_signal(signal.SIGTERM)
    for i, host in enumerate(hosts):
        log = host.communicate(timeout=20)[0]
        found = re.search(r'name=control_traffic .*sent="(\d+)" received="(\d+)" ms="(\d+)"', log)
        sent, received, ms = map(int, found.groups())
        print(f"host-{i}: exit {host.returncode}, sent {sent * 1000 // ms} B/s, "
              f"received {received * 1000 // ms} B/s over {ms} ms")
finally:
    for host in hosts:
        if host.poll() is None:
            host.kill()
            host.wait()
