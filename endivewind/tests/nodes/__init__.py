"""Tests of endivewind.nodes."""
