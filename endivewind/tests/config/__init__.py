"""Tests of endivewind.config."""
