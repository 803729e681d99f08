"""Adapter to the operators' platform: its names, formats and calls.

This package makes no decisions. It translates the platform's terms (attempt,
instance, tenant) into the project's own types, so that the rest of the code
does not depend on the platform's wire format.
"""
