"""The operators' interface: a configuration library and a node's HTTP API.

A program builds a `Firm`, adds services, routes and workspaces to it and
prints it as YAML, which `endivewind submit -` reads:

    python examples/camerino_abierto.py | endivewind submit - --platform=URL
"""

from endivewind.config import objects
from endivewind.operators import builder

Firm = builder.Firm
Profile = objects.Profile
Priority = objects.Priority
Repeat = objects.RepeatPolicy

__all__ = ["Firm", "Priority", "Profile", "Repeat"]
