"""Sets of decisions that can be compared on the same pattern."""

import dataclasses
import typing

from savorycross.forward import engine
from savorycross.forward import picker
from savorycross.locality import locality
from savorycross.overload import caller_subset
from savorycross.overload import reachability
from savorycross.overload import shares

FIXED_RETURN_S = 0.1


class RandomPicker(picker.Picker):
    """Chooses any target that has room, without regard to its state."""

    def score(self, state, now, preferred=None, leaving=None):
        """Return a random number."""
        return self._rng.random()


class UnlimitedShares(shares.LimitShares):
    """Shares that do not limit the sends in flight to a target."""

    __slots__ = ()

    def in_flight(self, slots):
        """Return a number that is never reached."""
        return 1_000_000


class ConstantPrice(locality.Locality):
    """The price of another data centre is the same at any load."""

    def choose(self, service, states, draw, now):
        """Return None, as no send leaves at a lower price."""


class UninformedEngine(engine.Engine):
    """An engine that refuses no call early and asks all back soon."""

    def outlook(self, service, until, now):
        """Return that the service is reachable."""
        return reachability.Outlook(True)

    def make_refusal(self, call, route, return_at, end_at):
        """Return a refusal with a fixed time."""
        return self.dialect.make_refusal(503, FIXED_RETURN_S)


class RoomyEngine(engine.Engine):
    """An engine that does not know whether services have room."""

    def outlook(self, service, until, now):
        """Return the outlook of a service that has room."""
        outlook = super().outlook(service, until, now)
        return dataclasses.replace(outlook, is_full=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """The decisions of all instances in one run.

    :param make_engine: callable with the parameters of ``Engine``.
    :param make_picker: callable of a data centre and a random.Random.
    :param make_locality: callable of a data centre, a random.Random and a
        log.
    :param make_shares: callable with the parameters of ``LimitShares``.
    :param min_selected: instances of each data centre that take callers at
        least.
    """

    name: str
    make_engine: typing.Callable = engine.Engine
    make_picker: typing.Callable = picker.Picker
    make_locality: typing.Callable = locality.Locality
    make_shares: typing.Callable = shares.LimitShares
    min_selected: int = caller_subset.MIN_SELECTED


ALL_INSTANCES = 10_000

PRODUCT = Variant('savorycross')
VARIANTS = {
    v.name: v
    for v in (
        PRODUCT,
        Variant('random-target', make_picker=RandomPicker),
        Variant('unlimited-sends', make_shares=UnlimitedShares),
        Variant('constant-price', make_locality=ConstantPrice),
        Variant('no-early-refusal', make_engine=UninformedEngine),
        Variant('no-slot-wait', make_engine=RoomyEngine),
        Variant('all-instances', min_selected=ALL_INSTANCES),
    )
}
