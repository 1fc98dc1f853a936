"""Tests of how the processes of a trial are started."""

import socket
import sys

import pytest
from burdockthread_scenarios.cluster import (
    LOOPBACK,
    free_ports,
    start_process,
    wait_ready,
)


def test_a_reserved_port_is_given_to_nobody_who_does_not_name_it():
    ports = free_ports(5)
    for port in ports:
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((LOOPBACK, port))


def test_a_reserved_port_can_be_listened_on():
    (port,) = free_ports(1)
    with socket.create_server((LOOPBACK, port)) as server:
        assert server.getsockname()[1] == port


def test_reserved_ports_differ():
    ports = free_ports(30)
    assert len(set(ports)) == len(ports)


async def test_a_program_that_ends_before_it_is_ready_is_named(tmp_path):
    log = tmp_path / "program.log"
    failing = [sys.executable, "-c", "import sys; sys.exit('port is taken')"]
    process = await start_process(failing, log)
    with pytest.raises(RuntimeError, match="port is taken"):
        await wait_ready(process, log, f"http://{LOOPBACK}:1/readyz")
