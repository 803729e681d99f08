"""Load tests of the fleet's decisions in virtual time, without a network."""
