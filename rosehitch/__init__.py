"""The command `rosehitch`: serves and checks gateways, and runs demos, soaks, emulations, experiments."""
