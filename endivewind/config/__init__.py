"""Settings and configuration: models, and findings with their locations."""
