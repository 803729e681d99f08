"""The soak test: real processes under injected faults, checked by callers."""
