"""The command `rosehitch`: serve, check a configuration, demo."""
