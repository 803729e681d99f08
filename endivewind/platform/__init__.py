"""The side towards the platform: object API client and watches."""
