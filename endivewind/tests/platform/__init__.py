"""Tests of endivewind.platform."""
