"""Converts gossip's pulls and states to and from link frames."""

import functools
from typing import Any

from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import gossip_messages
from endivewind.nodes import view


@functools.singledispatch
def encode_message(
    message: gossip_messages.StatePart | gossip_messages.Pull,
) -> Any:
    """Converts a gossip message to a link frame."""
    raise TypeError(f"no frame for {type(message).__name__}")


@encode_message.register
def _(message: gossip_messages.StatePart) -> Any:
    state = codec.messages.StatePart(
        sender=message.sender,
        members=[changes.encode_member(item) for item in message.members],
        homes=[_encode_home(item) for item in message.homes],
        last=message.is_last,
        left=[
            codec.messages.DepartedTarget(*item)
            for item in message.departed_targets
        ]
        or None,
    )
    return codec.messages.Frame(fleet_state=state)


@encode_message.register
def _(message: gossip_messages.Pull) -> Any:
    pull = codec.messages.Pull(
        sender=message.sender,
        address=message.address,
        names=list(message.names),
    )
    return codec.messages.Frame(pull=pull)


def decode_message(
    frame: Any,
) -> gossip_messages.StatePart | gossip_messages.Pull:
    """Converts a link frame to a gossip message.

    Raises:
      codec.FrameError: if the frame holds no valid gossip message.
    """
    try:
        if frame.fleet_state:
            return _decode_state(frame.fleet_state)
        if frame.pull:
            pull = frame.pull
            return gossip_messages.Pull(
                pull.sender or "", pull.address, tuple(pull.names or ())
            )
    except (TypeError, ValueError) as error:
        raise codec.FrameError(str(error)) from error
    raise codec.FrameError("not a gossip frame")


def _decode_state(state: Any) -> gossip_messages.StatePart:
    return gossip_messages.StatePart(
        state.sender or "",
        tuple(changes.decode_member(item) for item in state.members or ()),
        tuple(_decode_home(item) for item in state.homes or ()),
        bool(state.last),
        tuple((item.target, item.incarnation) for item in state.left or ()),
    )


def _encode_home(home: view.HomeState) -> Any:
    return codec.messages.HomeState(
        home=home.home,
        incarnation=home.version.incarnation,
        sequence=home.version.sequence,
        targets=[changes.encode_target(item) for item in home.targets],
    )


def _decode_home(home: Any) -> view.HomeState:
    targets = tuple(
        changes.decode_target(item, home.home, home.incarnation)
        for item in home.targets or ()
        # The other homes of a state must not be lost for one faulty target:
        # a node that starts would never get a whole state.
        if changes.has_slots(item)
    )
    version = view.HomeVersion(home.incarnation, home.sequence)
    return view.HomeState(home.home, version, targets)
