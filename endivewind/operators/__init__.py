"""The side towards operators: configuration in a program, and status.

A program builds a `Firm`, adds services, routes and workspaces to it and
prints it; `endivewind submit -` takes what it prints:

    python examples/camerino_abierto.py | endivewind submit - --platform=URL
"""

from endivewind.config import objects
from endivewind.operators import builder

Firm = builder.Firm
Profile = objects.Profile
Priority = objects.Priority
Repeat = objects.Repeat

__all__ = ["Firm", "Priority", "Profile", "Repeat"]
