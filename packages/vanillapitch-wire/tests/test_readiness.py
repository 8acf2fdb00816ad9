"""Tests of the pool of worker threads that serve ready sockets."""

import contextlib
import socket
import threading
import time

from vanillapitch_wire import ReadinessPool

TIMEOUT_S = 5.0


def _count_threads(name: str) -> int:
    return sum(each.name.startswith(f"{name}-") for each in threading.enumerate())


def test_all_threads_serve_at_the_same_time():
    """Guards against a pool that stops growing, or grows beyond its limit.

    Callbacks that wait for each other at a barrier need all 4 threads at once.
    """
    barrier = threading.Barrier(4)
    served = threading.Semaphore(0)
    pool = ReadinessPool(name="grow", threads=4)

    def serve() -> None:
        barrier.wait(TIMEOUT_S)
        served.release()

    pool.start()
    with contextlib.ExitStack() as stack:
        for _ in range(8):
            near, far = socket.socketpair()
            stack.enter_context(near)
            stack.enter_context(far)
            pool.add(near, serve)
            far.send(b"x")
        for _ in range(8):
            assert served.acquire(timeout=TIMEOUT_S)
        assert _count_threads("grow") == 4
        pool.close()
    deadline_s = time.monotonic() + TIMEOUT_S
    while _count_threads("grow") and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert _count_threads("grow") == 0


def test_sequential_calls_need_few_threads():
    """Guards against threads that are started although others are idle.

    A socket served 200 times in sequence may need at most 4 threads; each further one
    wastes memory.
    """
    served = threading.Semaphore(0)
    pool = ReadinessPool(name="few", threads=32)
    pool.start()
    near, far = socket.socketpair()
    with near, far:

        def serve() -> None:
            near.recv(1)
            pool.arm(near)
            served.release()

        pool.add(near, serve)
        for _ in range(200):
            far.send(b"x")
            assert served.acquire(timeout=TIMEOUT_S)
        assert _count_threads("few") <= 4
        pool.close()
