"""Tests of endivewind.standins."""
