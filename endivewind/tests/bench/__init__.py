"""Tests of endivewind.bench."""
