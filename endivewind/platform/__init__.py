"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides. What the platform's pages call an attempt, a machine or
a back end is decoded here once, into the project's own types.
"""
