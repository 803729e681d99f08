"""A soak: real processes under faults from outside, checked by callers."""
