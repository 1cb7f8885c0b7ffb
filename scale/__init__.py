"""The scale test rig: measures the gateway with large fleets. The gateway itself does not import it."""
