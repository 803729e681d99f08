"""What must last: kept as objects of the platform, read and written here."""
