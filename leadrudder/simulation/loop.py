"""An asyncio event loop on virtual time, one per simulated process.

It implements what a node uses; the other methods raise NotImplementedError, as in asyncio's base class.
"""

from __future__ import annotations

import asyncio
import contextvars
import inspect
import weakref
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from leadrudder.simulation.scheduler import US_PER_S, Process, Scheduler, Step

if TYPE_CHECKING:
    from leadrudder.simulation.network import Network, VirtualServer, VirtualTransport

TIMER_RESOLUTION_US = 1000  # as in uvloop, whose clock and timers count whole milliseconds


class VirtualHandle(asyncio.TimerHandle):
    """A scheduled callback."""

    __slots__ = ("step",)

    def __init__(
        self,
        due_us: int,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        loop: VirtualLoop,
        context: contextvars.Context | None,
    ) -> None:
        # Skips the base class's constructor, whose debug flags and traceback cost time over a million calls.
        self._callback = callback
        self._args = args
        self._cancelled = False
        self._loop = loop
        self._context = contextvars.copy_context() if context is None else context
        self._when = due_us / US_PER_S
        self._scheduled = False
        self.step: Step | None = None

    def cancel(self) -> None:
        if not self._cancelled:
            self._cancelled = True
            step = self.step
            if step is not None and not step.cancelled:
                step.cancelled = True
                if self._scheduled:
                    self._loop.live_timers -= 1
            self._callback = _cancelled_callback
            self._args = ()

    def run(self) -> None:
        """Runs the callback, as the action of its step."""
        if self._scheduled:
            self._loop.live_timers -= 1
        self._context.run(self._callback, *self._args)


def _cancelled_callback() -> None:
    """Replaces the callback of a cancelled handle, so that the handle keeps nothing alive."""


class VirtualLoop(asyncio.AbstractEventLoop, Process):
    """The event loop of one process, and the process itself; once killed, it runs no more callbacks."""

    def __init__(
        self,
        name: str,
        host: str,
        scheduler: Scheduler,
        network: Network,
        on_error: Callable[[VirtualLoop, str], None],
    ) -> None:
        Process.__init__(self, name, scheduler.allocate_process_number())
        self.host = host
        self.scheduler = scheduler
        self.network = network
        self.live_timers = 0  # pending timers that were not cancelled
        self.transports: dict[VirtualTransport, None] = {}
        self.servers: dict[VirtualServer, None] = {}
        self._signals: dict[int, tuple[Callable[..., object], tuple[Any, ...]]] = {}
        self._tasks: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()
        self._on_process_error = on_error

    # ------------------------------------------------------------ running

    @contextmanager
    def as_running_loop(self) -> Iterator[None]:
        """Makes get_running_loop() return this loop within the block."""
        previous = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            yield
        finally:
            asyncio._set_running_loop(previous)

    def run_step(self, step: Step) -> None:
        asyncio._set_running_loop(self)
        try:
            step.callback(*step.args)
        except Exception as error:  # asyncio would log it and continue; the simulation reports it
            self._on_process_error(self, f"{step.label}: {type(error).__name__}: {error}")
        finally:
            asyncio._set_running_loop(None)

    def unfinished_tasks(self) -> list[asyncio.Task[Any]]:
        """The tasks that are not done."""
        return [task for task in self._tasks if not task.done()]

    def kill(self) -> None:
        """Ends the process at once, as by SIGKILL; its host closes what it had open."""
        if not self.alive:
            return
        self.alive = False
        self._signals.clear()  # the handlers refer to the whole program
        for server in list(self.servers):
            server.close()
        for transport in list(self.transports):
            transport.process_died()
        self.network.process_died(self)
        for task in self.unfinished_tasks():
            task._log_destroy_pending = False  # type: ignore[attr-defined]  # abandoned on purpose
            coro = task.get_coro()
            if inspect.iscoroutine(coro) and inspect.getcoroutinestate(coro) == inspect.CORO_CREATED:
                coro.close()  # avoids Python's warning about a coroutine that was never awaited

    def deliver_signal(self, number: int) -> None:
        """Delivers a signal; kills the process if it has no handler."""
        handler = self._signals.get(number)
        if handler is None:
            self.kill()
        else:
            self.scheduler.schedule_timer(
                self.scheduler.now, self, f"signal {number}", handler[0], *handler[1]
            )

    # ------------------------------------------------------------ asyncio's interface

    def time(self) -> float:
        return (self.scheduler.now // TIMER_RESOLUTION_US * TIMER_RESOLUTION_US) / US_PER_S

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        scheduler = self.scheduler
        handle = VirtualHandle(scheduler.now, callback, args, self, context)
        handle.step = scheduler.schedule_soon(self, _callback_label(callback), handle.run)
        return handle

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        delay_us = round(delay * US_PER_S / TIMER_RESOLUTION_US) * TIMER_RESOLUTION_US
        due_us = (
            self.scheduler.now // TIMER_RESOLUTION_US * TIMER_RESOLUTION_US + delay_us
            if delay_us > 0
            else self.scheduler.now
        )
        return self._timer(due_us, callback, args, context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        return self.call_later(when - self.time(), callback, *args, context=context)

    def _timer(
        self,
        due_us: int,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> asyncio.TimerHandle:
        handle = VirtualHandle(due_us, callback, args, self, context)
        handle._scheduled = True
        self.live_timers += 1
        handle.step = self.scheduler.schedule_timer(due_us, self, _callback_label(callback), handle.run)
        return handle

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Any,
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        self._tasks.add(task)
        return task

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Creates a task of this process from outside of it."""
        with self.as_running_loop():
            return self.create_task(coro)

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        return await self.network.connect(self, protocol_factory, (host, port))

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        return self.network.listen(self, protocol_factory, (host, port))

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., object], *args: Any
    ) -> None:
        self._signals[sig] = (callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._signals.pop(sig, None) is not None

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return self.alive

    def is_closed(self) -> bool:
        return not self.alive

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self._on_process_error(self, f"{context.get('message')}: {type(error).__name__}: {error}")


def _callback_label(callback: Callable[..., object]) -> str:
    return getattr(callback, "__qualname__", None) or type(callback).__name__
