"""Tests of endivewind.decisions."""
