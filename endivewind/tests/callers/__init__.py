"""Tests of endivewind.callers."""
