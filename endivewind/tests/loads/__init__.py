"""Loads played to the product's decisions, without a network."""
