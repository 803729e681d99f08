"""Proofs of the promises on real processes."""
