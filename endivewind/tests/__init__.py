"""Tests; the packages below mirror the product's."""
