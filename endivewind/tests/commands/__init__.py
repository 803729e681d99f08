"""Tests of endivewind.commands."""
