"""Tests of endivewind.soak."""
